"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Literal

from msgspec import Meta

from jayswitch.models import Model


class NodeSettings(Model, kw_only=True):
    """
    Settings of one jayswitchd process.
    """

    vm: Annotated[
        str,
        Meta(
            description="Name of the VM, unique in the fleet.",
            pattern="^[a-z0-9][a-z0-9._-]{0,62}$",
        ),
    ]
    data_centre: Annotated[
        str,
        Meta(
            description="Data centre of the VM.", pattern="^[a-z0-9][a-z0-9._-]{0,62}$"
        ),
    ]
    bind_ip: Annotated[
        str,
        Meta(
            description="IP address on which all ports of this node listen.",
            min_length=3,
        ),
    ]
    store: Annotated[
        str,
        Meta(
            description="Base URL of the platform's key-value service.",
            pattern="^https?://",
        ),
    ]
    admin_token: Annotated[
        str, Meta(description="Bearer token of operators.", min_length=8)
    ]
    upstream_token: Annotated[
        str, Meta(description="Bearer token of the local upstream.", min_length=8)
    ]
    region: Annotated[str, Meta(description="Region of the data centre.")] = "default"
    caller_port: Annotated[
        int, Meta(description="HTTP port for callers.", ge=1, le=65535)
    ] = 7100
    admin_port: Annotated[
        int,
        Meta(
            description="HTTP port for operators and the local upstream.",
            ge=1,
            le=65535,
        ),
    ] = 7101
    data_port: Annotated[
        int, Meta(description="Port for calls between nodes.", ge=1, le=65535)
    ] = 7102
    control_port: Annotated[
        int,
        Meta(description="Port for control messages between nodes.", ge=1, le=65535),
    ] = 7103
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Minimum level of log lines."),
    ] = "info"
    drain_timeout_ms: Annotated[
        int,
        Meta(
            description="Maximum wait for requests in flight at a graceful shutdown.",
            ge=0,
            le=3600000,
        ),
    ] = 60000
    drain_grace_ms: Annotated[
        int,
        Meta(
            description="Time for which new connections are still accepted after a graceful shutdown begins.",
            ge=0,
            le=60000,
        ),
    ] = 1500
    max_body_bytes: Annotated[
        int,
        Meta(
            description="Maximum size of a caller's request body.", ge=1024, le=67108864
        ),
    ] = 1048576
    sync_interval_ms: Annotated[
        int,
        Meta(description="Heartbeat interval between linked nodes.", ge=50, le=10000),
    ] = 1000
    fan_out: Annotated[
        int,
        Meta(
            description="Maximum number of children of a node in the distribution tree.",
            ge=2,
            le=64,
        ),
    ] = 8
    relay_slots: Annotated[
        int,
        Meta(
            description="Number of relays per data centre that watch the store.",
            ge=1,
            le=8,
        ),
    ] = 2
    warm_up_ms: Annotated[
        int,
        Meta(
            description="Minimum time over which a cold upstream is warmed up to full concurrency.",
            ge=0,
            le=600000,
        ),
    ] = 10000
