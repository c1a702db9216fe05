"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Literal

from msgspec import Meta

from jayswitch.models import Model


class ProxySettings(Model, kw_only=True):
    """
    Settings of the proxy on one VM.
    """

    vm: Annotated[str, Meta(description="Name of the VM, unique in the fleet.")]
    data_centre: Annotated[str, Meta(description="Data centre in which the VM runs.")]
    region: Annotated[str, Meta(description="Region of the data centre.")]
    service: Annotated[
        str,
        Meta(
            description="Service of the upstream on this VM, to which the callers on the VM belong too."
        ),
    ]
    upstream_address: Annotated[
        str, Meta(description="IP and port of the upstream on this VM.")
    ]
    callers_address: Annotated[
        str, Meta(description="IP and port for callers on this VM.")
    ]
    proxies_address: Annotated[str, Meta(description="IP and port for other proxies.")]
    readiness_address: Annotated[
        str, Meta(description="IP and port for readiness checks.")
    ]
    heartbeats_address: Annotated[
        str, Meta(description="IP and port for the upstream's heartbeats.")
    ]
    metrics_port: Annotated[
        int, Meta(description="Port for metrics and state dumps.", ge=1, le=65535)
    ]
    store_address: Annotated[
        str, Meta(description="IP and port of the platform's store.")
    ]
    heartbeat_ms: Annotated[
        int,
        Meta(
            description="Interval between heartbeats of the upstream in milliseconds.",
            ge=1,
        ),
    ]
    retry_ratio: Annotated[
        float, Meta(description="Retries allowed per request, across the fleet.")
    ]
    retry_slack: Annotated[
        float,
        Meta(description="Retries allowed in addition to the ratio, across the fleet."),
    ]
    retry_window_s: Annotated[
        float, Meta(description="Window of the retry budget in seconds.")
    ]
    drain_ms: Annotated[
        int,
        Meta(
            description="Time in milliseconds within which a leaving upstream must stop receiving new requests."
        ),
    ]
    grace_s: Annotated[
        float,
        Meta(
            description="Time in seconds between the two signals that stop a process."
        ),
    ]
    exposure_share: Annotated[
        float,
        Meta(
            description="Share of a service's requests that may reach a faulty version."
        ),
    ]
    exposure_slack: Annotated[
        float,
        Meta(
            description="Requests that may reach a faulty version in addition to the share."
        ),
    ]
    config_apply_ms: Annotated[
        int,
        Meta(
            description="Time in milliseconds within which a configuration must be in force."
        ),
    ]
    first_start: Annotated[
        bool,
        Meta(description="Whether the whole fleet is starting for the first time."),
    ]
    link_mbit_per_s: Annotated[
        float,
        Meta(description="Bandwidth of the VM's network link in Mbit/s; 0 if unknown."),
    ] = 0.0
    cold_factor: Annotated[
        float,
        Meta(
            description="Call rate allowed to a cold upstream, as a multiple of its service's configured rate."
        ),
    ] = 1.0
    cold_slack: Annotated[
        float,
        Meta(
            description="Calls per second allowed to a cold upstream in addition to that rate."
        ),
    ] = 0.0
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Minimum level of log messages."),
    ] = "info"
