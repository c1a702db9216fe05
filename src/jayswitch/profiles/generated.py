"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, convert, field

from jayswitch.models import Model

Name: TypeAlias = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]


Priority: TypeAlias = Literal["high", "normal", "bulk"]


IdempotentMethod: TypeAlias = Annotated[str, Meta(pattern="^[A-Z]{1,10}$")]


class Route(Model, kw_only=True):
    """
    Maps a path prefix to the service that handles its calls.
    """

    name: Name
    prefix: Annotated[
        str, Meta(description="Path prefix, starting with a slash.", pattern="^/")
    ]
    service: Name
    timeout_ms: Annotated[
        int, Meta(description="Time-out of a call.", ge=1, le=3600000)
    ] = 2000
    idempotent_methods: Annotated[
        list[IdempotentMethod],
        Meta(description="Methods that may be executed more than once."),
    ] = field(
        default_factory=lambda: convert(
            ["GET", "HEAD", "OPTIONS"], type=list[IdempotentMethod]
        )
    )
    priority: Annotated[
        Priority, Meta(description="Priority at which the gate admits waiting calls.")
    ] = "normal"


class Target(Model, kw_only=True):
    """
    The target version of a service in a profile.
    """

    service: Name
    version: Name
    move_within_ms: Annotated[
        int,
        Meta(
            description="Time within which a new version must take over; otherwise it is rolled back.",
            ge=1000,
            le=604800000,
        ),
    ] = 600000
    trial_percent: Annotated[
        int,
        Meta(
            description="Maximum share of calls routed to a version that is still on trial.",
            ge=1,
            le=20,
        ),
    ] = 5
    max_retry_percent: Annotated[
        int,
        Meta(description="Maximum number of retries per hundred calls.", ge=0, le=100),
    ] = 10


class Profile(Model, kw_only=True):
    """
    A named routing profile written by an operator.
    """

    name: Name
    routes: Annotated[
        list[Route],
        Meta(description="Routes, matched by longest path prefix.", max_length=256),
    ]
    targets: Annotated[
        list[Target],
        Meta(description="Services that the routes depend on.", max_length=256),
    ]
