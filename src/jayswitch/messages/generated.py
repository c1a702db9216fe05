"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Any, TypeAlias

from msgspec import Meta, field

from jayswitch.models import Message

Messages: TypeAlias = Annotated[
    Any, Meta(description="Messages between nodes.", title="Messages")
]


class Header(Message, kw_only=True):
    """
    One HTTP header.
    """

    name: str
    value: str


class Call(Message, kw_only=True):
    """
    A call handed from the entry node to the gate beside the chosen upstream.
    """

    id: Annotated[str, Meta(description="This attempt; answers carry it.")]
    reply_to: str
    service: str
    version: str
    route: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    remaining_ms: float
    depth: int
    idempotent: bool
    priority: str
    request_id: Annotated[
        str, Meta(description="The caller's request; the same for every attempt.")
    ]
    profile: Annotated[str, Meta(description="Profile of the entry node.")]
    key: Annotated[
        str, Meta(description="The caller's idempotency key; empty for none.")
    ] = ""


class Answer(Message, kw_only=True):
    """
    The upstream's answer; chunks follow when more is set.
    """

    id: str
    status: int
    headers: list[Header]
    body: bytes
    more: bool = False
    in_flight: int = 0
    limit: int = 0


class Chunk(Message, kw_only=True):
    """
    A later part of an answer's body.
    """

    id: str
    seq: int
    data: bytes
    last: bool = False
    failed: str = ""


class Credit(Message, kw_only=True):
    """
    Permission to send chunks up to a sequence number.
    """

    id: str
    up_to: int


class Refusal(Message, kw_only=True):
    """
    The call was not handed to the upstream and will not be.
    """

    id: str
    reason: str
    retry_after_ms: int = 0
    in_flight: int = 0
    limit: int = 0


class Unknown(Message, kw_only=True):
    """
    The call was handed to the upstream and its outcome is not known.
    """

    id: str
    reason: str


class Cancel(Message, kw_only=True):
    """
    The entry node no longer waits for the call.
    """

    id: str
    reply_to: str


class Record(Message, kw_only=True):
    """
    One piece of soft state; (incarnation, counter) orders its versions.
    """

    key: str
    kind: str
    origin: str
    incarnation: int
    counter: int
    payload: bytes
    service: str = ""
    gone: bool = False


class SubtreeStatus(Message, kw_only=True):
    """
    Configuration versions in force below a link.
    """

    nodes: int
    lowest_version: int
    lagging: list[str] = field(default_factory=list)


class Join(Message, kw_only=True):
    """
    Asks for a place in the distribution tree.
    """

    node: str
    data_centre: str
    reply_to: str
    attempt: str


class JoinReply(Message, kw_only=True):
    """
    Accepts a child or names other nodes to ask.
    """

    node: str
    accepted: bool
    attempt: str
    redirect: list[str] = field(default_factory=list)


class Sync(Message, kw_only=True):
    """
    Heartbeat of a link with the changes that the peer has not acknowledged.
    """

    node: str
    reply_to: str
    session: str
    peer_session: str
    after: Annotated[int, Meta(description="Sequence number that the records follow.")]
    seq: Annotated[int, Meta(description="Sequence number that the records reach.")]
    ack: Annotated[
        int, Meta(description="Sequence number that the sender has received up to.")
    ]
    config_version: int
    snapshot: bytes
    subtree: SubtreeStatus
    hops: int = 0
    complete: Annotated[
        bool, Meta(description="The records reach the sender's newest state.")
    ] = False
    settled: Annotated[
        list[str],
        Meta(description="Services whose members the sender knows and has sent."),
    ] = field(default_factory=list)
    interest: Annotated[
        list[str],
        Meta(description="Services the sender wants members of; empty for no change."),
    ] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    entries: list[bytes] = field(default_factory=list)
    claim_slot: Annotated[
        int,
        Meta(
            description="Relay slot that the receiver is asked to claim; -1 for none."
        ),
    ] = -1
    bye: bool = False
    resend: Annotated[
        bool, Meta(description="Asks the receiver to send every record again.")
    ] = False
