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
    A call forwarded from the entry node to the gate of the selected upstream.
    """

    id: Annotated[str, Meta(description="Id of this attempt, repeated in its answers.")]
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
        str, Meta(description="Id of the caller's request, the same for every attempt.")
    ]
    profile: Annotated[str, Meta(description="Profile of the entry node.")]
    key: Annotated[
        str, Meta(description="The caller's idempotency key; empty for none.")
    ] = ""


class Answer(Message, kw_only=True):
    """
    The upstream's response; Chunk messages follow if more is set.
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
    A further part of a response body.
    """

    id: str
    seq: int
    data: bytes
    last: bool = False
    failed: Annotated[
        str, Meta(description="Why the body ends incomplete; empty if it does not.")
    ] = ""


class Credit(Message, kw_only=True):
    """
    Flow control: permits sending chunks with sequence numbers below up_to.
    """

    id: str
    up_to: int


class Refusal(Message, kw_only=True):
    """
    The call was not and will not be sent to the upstream.
    """

    id: str
    reason: str
    retry_after_ms: int = 0
    in_flight: int = 0
    limit: int = 0


class Unknown(Message, kw_only=True):
    """
    The call was sent to the upstream and its outcome is unknown.
    """

    id: str
    reason: str


class Cancel(Message, kw_only=True):
    """
    Cancels a call that the entry node no longer waits for.
    """

    id: str
    reply_to: str


class Record(Message, kw_only=True):
    """
    A versioned item of soft state; versions are ordered by (incarnation, counter).
    """

    key: str
    kind: str
    origin: str
    incarnation: int
    counter: int
    payload: bytes
    service: str = ""
    gone: Annotated[
        bool,
        Meta(
            description="Whether the record has been removed; such a record is a tombstone."
        ),
    ] = False


class SubtreeStatus(Message, kw_only=True):
    """
    Configuration versions applied in the subtree of the sender.
    """

    nodes: int
    lowest_version: int
    lagging: list[str] = field(default_factory=list)


class Join(Message, kw_only=True):
    """
    Asks to join the distribution tree as a child of the receiver.
    """

    node: str
    data_centre: str
    reply_to: str
    attempt: str


class JoinReply(Message, kw_only=True):
    """
    Accepts a child or redirects it to other nodes.
    """

    node: str
    accepted: bool
    attempt: str
    redirect: list[str] = field(default_factory=list)


class Sync(Message, kw_only=True):
    """
    Heartbeat of a link, with changes that the peer has not acknowledged.
    """

    node: str
    reply_to: str
    session: str
    peer_session: str
    after: Annotated[
        int, Meta(description="Sequence number after which the records start.")
    ]
    seq: Annotated[
        int, Meta(description="Sequence number up to which the records extend.")
    ]
    ack: Annotated[
        int, Meta(description="Highest sequence number that the sender has received.")
    ]
    config_version: int
    snapshot: bytes
    subtree: SubtreeStatus
    hops: int = 0
    complete: Annotated[
        bool,
        Meta(description="Whether the records extend to the sender's newest state."),
    ] = False
    settled: Annotated[
        list[str],
        Meta(description="Services of which the sender has sent all known members."),
    ] = field(default_factory=list)
    interest: Annotated[
        list[str],
        Meta(
            description="Services whose members the sender needs; empty for no change."
        ),
    ] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    entries: list[bytes] = field(default_factory=list)
    claim_slot: Annotated[
        int,
        Meta(
            description="Relay slot that the receiver is asked to claim; -1 for none."
        ),
    ] = -1
    bye: Annotated[
        bool,
        Meta(
            description="Whether the sender closes the link or has none to the receiver."
        ),
    ] = False
    resend: Annotated[
        bool, Meta(description="Asks the receiver to send every record again.")
    ] = False
