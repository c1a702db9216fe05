"""Settings of proxies in tests that need no sockets."""

from __future__ import annotations

from jayswitch.proxy.generated import ProxySettings


def settings_for(
    vm: str,
    data_centre: str,
    link_mbit_per_s: float = 0.0,
    first_start: bool = True,
) -> ProxySettings:
    """Returns the settings of one proxy; its address for other proxies is its name."""
    return ProxySettings(
        vm=vm,
        data_centre=data_centre,
        region="swwa",
        service="herdview",
        upstream_address="127.0.0.1:1",
        callers_address="127.0.0.1:2",
        proxies_address=vm,
        readiness_address="127.0.0.1:3",
        heartbeats_address="127.0.0.1:4",
        metrics_port=5,
        store_address="127.0.0.1:6",
        heartbeat_ms=1500,
        retry_ratio=0.2,
        retry_slack=430.0,
        retry_window_s=10.0,
        drain_ms=3000,
        grace_s=10.0,
        exposure_share=0.1,
        exposure_slack=50.0,
        config_apply_ms=3000,
        first_start=first_start,
        link_mbit_per_s=link_mbit_per_s,
    )
