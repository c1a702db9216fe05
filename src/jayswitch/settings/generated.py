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
            description="Data centre the VM stands in.",
            pattern="^[a-z0-9][a-z0-9._-]{0,62}$",
        ),
    ]
    bind_ip: Annotated[
        str,
        Meta(description="IP number every port of this node listens on.", min_length=3),
    ]
    store: Annotated[
        str,
        Meta(
            description="Base URL of the platform's key-value service.",
            pattern="^https?://",
        ),
    ]
    admin_token: Annotated[
        str, Meta(description="Bearer token operators present.", min_length=8)
    ]
    upstream_token: Annotated[
        str, Meta(description="Bearer token the local upstream presents.", min_length=8)
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
        Meta(description="Lowest level that is logged."),
    ] = "info"
    drain_timeout_ms: Annotated[
        int,
        Meta(
            description="Longest wait for requests in flight at a planned stop.",
            ge=0,
            le=3600000,
        ),
    ] = 60000
    drain_grace_ms: Annotated[
        int,
        Meta(
            description="Time that new connections are still served after a planned stop begins.",
            ge=0,
            le=60000,
        ),
    ] = 1500
    max_body_bytes: Annotated[
        int,
        Meta(
            description="Largest request body accepted from a caller.",
            ge=1024,
            le=67108864,
        ),
    ] = 1048576
    sync_interval_ms: Annotated[
        int,
        Meta(description="Heartbeat interval between linked nodes.", ge=50, le=10000),
    ] = 1000
    fan_out: Annotated[
        int,
        Meta(
            description="Most children a node accepts in the distribution tree.",
            ge=2,
            le=64,
        ),
    ] = 8
    relay_slots: Annotated[
        int,
        Meta(description="Relays per data centre that watch the store.", ge=1, le=8),
    ] = 2
    warm_up_ms: Annotated[
        int,
        Meta(
            description="Shortest time in which a cold upstream is brought to its full concurrency.",
            ge=0,
            le=600000,
        ),
    ] = 10000
