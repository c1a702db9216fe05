"""HTTP API for operators, monitoring and the local upstream."""

from __future__ import annotations

import hmac
import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from returns.result import Failure, Result, Success

from jayswitch.config.exceptions import InvalidChange, NoSuchObject
from jayswitch.config.generated import (
    DataCentreSet,
    MoveAborted,
    ProfileDeleted,
    ProfileSet,
    ServiceDeleted,
    ServiceSet,
)
from jayswitch.config.state import Entry
from jayswitch.exceptions import JayswitchError
from jayswitch.gate.upstream import Announcement
from jayswitch.http.exceptions import (
    AskRelay,
    BadAnnouncement,
    NoSuchPath,
    NotAuthorized,
)
from jayswitch.http.status_lines import status_line
from jayswitch.membership.member import KIND_STATUS, decode_status
from jayswitch.metrics import NodeCollector
from jayswitch.node.dump import dump_node
from jayswitch.profiles.loader import load_profile
from jayswitch.store.documents import InvalidDocument, decode_document

if TYPE_CHECKING:
    from jayswitch.config.state import AnyChange
    from jayswitch.node.node import Node

AUTHOR_VARIABLE = "HTTP_X_JAYSWITCH_AUTHOR"
EXPECTED_VERSION_VARIABLE = "HTTP_X_JAYSWITCH_EXPECTED_VERSION"
MAX_BODY_BYTES = 1_000_000
MAX_AUTHOR_CHARACTERS = 64

StartResponse = Callable[..., Any]
ApiResult = Result[Any, JayswitchError]

logger = logging.getLogger(__name__)


class AdminRequest:
    """An authorized request, with its path split into segments."""

    __slots__ = ("author", "body", "expected_version", "method", "path")

    def __init__(self, environ: dict[str, Any]) -> None:
        """Initializes the request from its WSGI environment."""
        self.method: str = environ["REQUEST_METHOD"]
        self.path: list[str] = environ["PATH_INFO"].strip("/").split("/")
        self.body: bytes = environ["wsgi.input"].read(MAX_BODY_BYTES)
        author = environ.get(AUTHOR_VARIABLE, "operator")
        self.author: str = author[:MAX_AUTHOR_CHARACTERS]
        expected = environ.get(EXPECTED_VERSION_VARIABLE, "")
        self.expected_version = int(expected) if expected.isdigit() else -1


class AdminApplication:
    """Serves the administration API of one node."""

    def __init__(self, node: Node) -> None:
        """Initializes the application with the node, whose settings hold the tokens."""
        self._node = node
        self._registry = CollectorRegistry()
        self._registry.register(NodeCollector(node))

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles a request; /metrics and /healthz need no token."""
        path = environ["PATH_INFO"]
        if path == "/metrics":
            start_response(status_line(200), [("Content-Type", CONTENT_TYPE_LATEST)])
            return [generate_latest(self._registry)]
        if path == "/healthz":
            start_response(status_line(200), [("Content-Type", "text/plain")])
            return [b"ok\n"]
        match self._authorize(environ).bind(self._handle):
            case Success(value):
                return _respond(200, value, start_response)
            case Failure(error):
                body = {
                    "error": error.code,
                    "cause": error.cause,
                    "remedy": error.remedy,
                }
                return _respond(error.status, body, start_response)
        raise AssertionError("a result is a success or a failure")

    def _authorize(
        self, environ: dict[str, Any]
    ) -> Result[AdminRequest, JayswitchError]:
        settings = self._node.parts.settings
        from_upstream = environ["PATH_INFO"] == "/v1/announce"
        token = settings.upstream_token if from_upstream else settings.admin_token
        given = environ.get("HTTP_AUTHORIZATION", "")
        expected_authorization = f"Bearer {token}"
        if not hmac.compare_digest(given.encode(), expected_authorization.encode()):
            key = "upstream_token" if from_upstream else "admin_token"
            return Failure(NotAuthorized(key))
        return Success(AdminRequest(environ))

    def _handle(self, request: AdminRequest) -> ApiResult:
        match request.method, request.path:
            case "POST", ["v1", "announce"]:
                return self._announce(request)
            case "GET", ["v1", "dump"]:
                return Success(dump_node(self._node))
            case "GET", ["v1", kind]:
                return self._list(kind)
            case "GET", ["v1", kind, name]:
                return self._get(kind, name)
            case ("PUT" | "DELETE" | "POST"), ["v1", kind, name, *action]:
                return self._change(request, kind, name, action)
        return Failure(NoSuchPath(request.method, "/".join(request.path)))

    # Read requests

    def _list(self, kind: str) -> ApiResult:
        parts = self._node.parts
        state = parts.replica.state
        match kind:
            case "profiles":
                return Success(_sorted_by_name(state.profiles_by_name))
            case "services":
                return Success(_sorted_by_name(state.services_by_name))
            case "data-centres":
                return Success(self._data_centres())
            case "moves":
                return Success(_sorted_by_name(state.moves_by_id))
            case "upstreams" | "nodes":
                return self._list_members(kind)
        return Failure(NoSuchPath("GET", f"v1/{kind}"))

    def _data_centres(self) -> list[Any]:
        state = self._node.parts.replica.state
        names = {member.data_centre for member in self._node.members()}
        names |= set(state.data_centres_by_name)
        return [
            {
                "data_centre": name,
                "state": "out" if state.is_out_of_service(name) else "in",
            }
            for name in sorted(names)
        ]

    def _list_members(self, kind: str) -> ApiResult:
        parts = self._node.parts
        if not parts.tree.is_relay:
            relays = [relay.admin_address for relay in parts.relay.relays]
            return Failure(AskRelay(relays))
        members = self._node.members()
        if kind == "upstreams":
            return Success([member for member in members if member.service])
        records = parts.table.by_kind(KIND_STATUS)
        statuses = [decode_status(record) for record in records]
        return Success(
            {
                "newest_version": parts.replica.version,
                "relays": [status for status in statuses if status is not None],
                "nodes": members,
            }
        )

    def _get(self, kind: str, name: str) -> ApiResult:
        state = self._node.parts.replica.state
        found: Any = None
        match kind:
            case "profiles":
                found = state.profiles_by_name.get(name)
            case "services":
                found = state.services_by_name.get(name)
            case "moves":
                found = state.moves_by_id.get(name)
        if found is None:
            return Failure(NoSuchObject(kind.rstrip("s"), name))
        return Success(found)

    # Write requests

    def _change(
        self, request: AdminRequest, kind: str, name: str, action: list[str]
    ) -> ApiResult:
        return self._parse_change(request, kind, name, action).bind(
            lambda change: self._append(change, request.author)
        )

    def _parse_change(
        self, request: AdminRequest, kind: str, name: str, action: list[str]
    ) -> Result[AnyChange, JayswitchError]:
        expected = request.expected_version
        match request.method, kind, action:
            case "PUT", "profiles", []:
                return load_profile(request.body).bind(
                    lambda profile: _profile_change(profile, name, expected)
                )
            case "DELETE", "profiles", []:
                return Success(ProfileDeleted(name=name, expected_version=expected))
            case "PUT", "services", []:
                profile = request.body.decode()
                return Success(ServiceSet(service=name, profile=profile))
            case "DELETE", "services", []:
                return Success(ServiceDeleted(service=name))
            case "POST", "data-centres", ["out" | "in" as state]:
                return Success(
                    DataCentreSet(
                        data_centre=name,
                        out=state == "out",
                        expected_version=expected,
                    )
                )
            case "POST", "moves", ["abort"]:
                at_ms = self._node.parts.clock.wall_ms()
                return Success(MoveAborted(move=name, at_ms=at_ms))
        path = "/".join(["v1", kind, name, *action])
        return Failure(NoSuchPath(request.method, path))

    def _append(self, change: AnyChange, author: str) -> ApiResult:
        appended = self._node.parts.log.append(change, author)
        match appended:
            case Success(Entry() as entry):
                logger.info(
                    "configuration change accepted",
                    extra={"version": entry.index, "author": author},
                )
                return Success({"version": entry.index, "change_id": entry.change_id})
        return appended

    def _announce(self, request: AdminRequest) -> ApiResult:
        try:
            announcement = decode_document(request.body, Announcement)
        except InvalidDocument as error:
            return Failure(BadAnnouncement(str(error)))
        self._node.announce(announcement)
        return Success({"accepted": True})


def _profile_change(
    profile: Any, name: str, expected: int
) -> Result[AnyChange, JayswitchError]:
    if profile.name != name:
        return Failure(
            InvalidChange(
                f"the request body names profile {profile.name!r}, the path {name!r}",
                "use the same name in the path and in the body",
            )
        )
    return Success(ProfileSet(profile=profile, expected_version=expected))


def _sorted_by_name(objects_by_name: dict[str, Any]) -> list[Any]:
    return [objects_by_name[name] for name in sorted(objects_by_name)]


def _respond(status: int, value: Any, start_response: StartResponse) -> list[bytes]:
    body = msgspec.json.encode(value)
    start_response(status_line(status), [("Content-Type", "application/json")])
    return [body]
