"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated

from msgspec import Meta

from jayswitch.models import Model


class UpstreamGroup(Model, kw_only=True):
    """
    Upstreams of one service in one data centre, each on a VM of its own.
    """

    service: Annotated[str, Meta(description="Service of the upstreams.")]
    data_centre: Annotated[str, Meta(description="Data centre of the upstreams.")]
    count: Annotated[int, Meta(description="Number of upstreams.", ge=1)]
    slots: Annotated[
        int, Meta(description="Maximum concurrent requests per upstream.", ge=1)
    ]
    slowness: Annotated[
        float, Meta(description="Factor on the processing time of each request.")
    ] = 1.0
    slow_from_s: Annotated[
        float, Meta(description="Time from which the factor applies.")
    ] = 0.0
    slow_for_s: Annotated[
        float,
        Meta(
            description="Time during which the factor applies; 0 for the whole simulation."
        ),
    ] = 0.0
    rate_limit_per_s: Annotated[
        float,
        Meta(
            description="Requests per second that an upstream announces that it takes; negative for no limit."
        ),
    ] = -1.0
    limited_from_s: Annotated[
        float, Meta(description="Time from which the upstreams announce their limit.")
    ] = 0.0
    limited_for_s: Annotated[
        float,
        Meta(
            description="Time during which they announce it; 0 for the whole simulation."
        ),
    ] = 0.0
    cold_s: Annotated[
        float,
        Meta(description="Time after the start during which the upstreams are cold."),
    ] = 0.0
    cold_calls_per_s: Annotated[
        float, Meta(description="Requests per second that a cold upstream can take.")
    ] = 8.5


class RequestKind(Model, kw_only=True):
    """
    Requests of one route, with the same properties.
    """

    name: Annotated[str, Meta(description="Name of the kind and of its route.")]
    service: Annotated[str, Meta(description="Service that handles the requests.")]
    work_ms: Annotated[float, Meta(description="Mean processing time.", gt=0.0)]
    objective_ms: Annotated[float, Meta(description="Latency objective.")]
    deadline_ms: Annotated[
        float, Meta(description="Time after which callers time out.")
    ]
    per_s: Annotated[
        float,
        Meta(
            description="Requests per second over all VMs; 0 for kinds that only upstreams send."
        ),
    ] = 0.0
    spread: Annotated[
        float,
        Meta(description="Sigma of the log-normal distribution of processing times."),
    ] = 0.5
    rank: Annotated[int, Meta(description="Priority; 0 is the most urgent.")] = 1
    repeatable: Annotated[
        bool, Meta(description="Whether a request may run more than once.")
    ] = True
    max_attempts: Annotated[
        int, Meta(description="Maximum number of upstreams that a request is sent to.")
    ] = 2
    calls: Annotated[
        str,
        Meta(
            description="Kind of the nested requests that a run sends; empty for none."
        ),
    ] = ""
    calls_count: Annotated[
        int,
        Meta(
            description="Nested requests of a run that sends any, one after the other."
        ),
    ] = 1
    calls_share: Annotated[
        float, Meta(description="Share of the runs that send nested requests.")
    ] = 0.0


class Scenario(Model, kw_only=True):
    """
    Upstreams and the load on them.
    """

    duration_s: Annotated[
        float, Meta(description="Time during which requests are generated.", gt=0.0)
    ]
    groups: Annotated[
        list[UpstreamGroup], Meta(description="Groups of identical upstreams.")
    ]
    kinds: Annotated[list[RequestKind], Meta(description="Kinds of requests.")]
    between_data_centres_ms: Annotated[
        float, Meta(description="One-way network latency between data centres.")
    ] = 1.4
    retry_ratio: Annotated[
        float,
        Meta(
            description="Retries that each request adds to the retry budget, over the fleet."
        ),
    ] = 0.2
    retry_slack: Annotated[
        float,
        Meta(description="Retries allowed in addition to the ratio, over the fleet."),
    ] = 60.0
