"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated

from msgspec import Meta

from jayswitch.models import Model


class UpstreamGroup(Model, kw_only=True):
    """
    Upstreams of one service in one data centre, each on a VM of its own.
    """

    service: Annotated[str, Meta(description="Service of the upstreams.")]
    data_centre: Annotated[str, Meta(description="Data centre they stand in.")]
    count: Annotated[int, Meta(description="How many there are.", ge=1)]
    slots: Annotated[
        int, Meta(description="Requests that each of them runs at once.", ge=1)
    ]
    slowness: Annotated[
        float, Meta(description="Factor on the work of every request.")
    ] = 1.0
    cold_s: Annotated[
        float, Meta(description="Time for which they are cold at first.")
    ] = 0.0
    cold_calls_per_s: Annotated[
        float, Meta(description="Requests a second that a cold one bears.")
    ] = 8.5


class RequestKind(Model, kw_only=True):
    """
    Requests of one route.
    """

    name: Annotated[str, Meta(description="Name of the kind and its route.")]
    service: Annotated[str, Meta(description="Service that runs the requests.")]
    work_ms: Annotated[float, Meta(description="Mean of the work.", gt=0.0)]
    objective_ms: Annotated[float, Meta(description="Latency that operators aim for.")]
    deadline_ms: Annotated[
        float, Meta(description="Latency after which callers give up.")
    ]
    per_s: Annotated[
        float,
        Meta(
            description="Requests a second over all VMs; 0 for kinds that only upstreams call."
        ),
    ] = 0.0
    spread: Annotated[
        float, Meta(description="Sigma of the work's log-normal distribution.")
    ] = 0.5
    rank: Annotated[int, Meta(description="0 is the most urgent.")] = 1
    repeatable: Annotated[
        bool, Meta(description="Whether a request may run more than once.")
    ] = True
    max_attempts: Annotated[
        int, Meta(description="Upstreams that a request may be sent to.")
    ] = 2
    calls: Annotated[
        str, Meta(description="Kind of the calls that a run makes; empty for none.")
    ] = ""
    calls_count: Annotated[
        int, Meta(description="Calls of a run that makes any, one after the other.")
    ] = 1
    calls_share: Annotated[
        float, Meta(description="Share of the runs that make calls.")
    ] = 0.0


class Scenario(Model, kw_only=True):
    """
    Upstreams and the requests that arrive for them.
    """

    duration_s: Annotated[
        float, Meta(description="Time in which requests arrive.", gt=0.0)
    ]
    groups: Annotated[list[UpstreamGroup], Meta(description="Upstreams of one kind.")]
    kinds: Annotated[list[RequestKind], Meta(description="Kinds of request.")]
    between_data_centres_ms: Annotated[
        float, Meta(description="One way between data centres.")
    ] = 1.4
    retry_ratio: Annotated[
        float, Meta(description="Repeats that each request allows, over the fleet.")
    ] = 0.2
    retry_slack: Annotated[
        float, Meta(description="Repeats allowed on top, over the fleet.")
    ] = 60.0
