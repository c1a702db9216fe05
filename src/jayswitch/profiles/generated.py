"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Literal, TypeAlias

from msgspec import Meta, convert, field

from jayswitch.models import Model

Name: TypeAlias = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]


Priority: TypeAlias = Literal["high", "normal", "bulk"]


IdempotentMethod: TypeAlias = Annotated[str, Meta(pattern="^[A-Z]{1,10}$")]


class Route(Model, kw_only=True):
    """
    Calls below a path prefix and the service that answers them.
    """

    name: Name
    prefix: Annotated[
        str, Meta(description="Path prefix, starting with a slash.", pattern="^/")
    ]
    service: Name
    timeout_ms: Annotated[
        int, Meta(description="Longest time a call may take.", ge=1, le=3600000)
    ] = 2000
    idempotent_methods: Annotated[
        list[IdempotentMethod], Meta(description="Methods that may run more than once.")
    ] = field(
        default_factory=lambda: convert(
            ["GET", "HEAD", "OPTIONS"], type=list[IdempotentMethod]
        )
    )
    priority: Annotated[
        Priority, Meta(description="Order in which the gate admits waiting calls.")
    ] = "normal"


class Target(Model, kw_only=True):
    """
    The version of a service that a profile calls for.
    """

    service: Name
    version: Name
    move_within_ms: Annotated[
        int,
        Meta(
            description="Time in which a new version must take over or is taken back.",
            ge=1000,
            le=604800000,
        ),
    ] = 600000
    trial_percent: Annotated[
        int,
        Meta(
            description="Largest share of calls that an unproved version gets.",
            ge=1,
            le=20,
        ),
    ] = 5
    max_retry_percent: Annotated[
        int, Meta(description="Retries allowed per hundred calls.", ge=0, le=100)
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
