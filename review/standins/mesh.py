"""Stand-ins for a small deployment on loopback: store, upstreams, callers, processes.

Standard library only. The store, the upstreams and the callers live in this process;
the proxies are started with the command of deploy/system.toml as separate processes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds of the site gctia-mesh.
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_slack": 58,
    "retry_window_s": 10,
    "drain_ms": 2000,
    "grace_s": 6,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "config_apply_ms": 2000,
    "cold_factor": 1.5,
    "cold_slack": 5,
}
HEARTBEAT_MS = 1500


class CannotRun(Exception):
    """The case cannot be played on this machine."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Message:
    """A received request or response."""

    def __init__(self, first_line: str, headers: list[tuple[str, str]]) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = b""
        self.is_whole = True

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        return self.first_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message with a length or in chunks; None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":")[::2] for line in lines if line]
    message = Message(first, [(name, value.strip()) for name, value in pairs])
    try:
        if (message.header("Transfer-Encoding") or "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"", 16):
                message.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            length = int(message.header("Content-Length") or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_whole = False
    return message


def encode_response(status: int, headers: dict[str, Any], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_chunked(status: int, headers: dict[str, Any]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", "6\r\nfailed", "0", "", ""]).encode()


async def call(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> Message | None:
    """Sends a request on a new connection; None without a whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            answer = await read_message(reader)
            return answer if answer is not None and answer.is_whole else None
    except (OSError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store: linearizable, with leases and watches."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.lease_until_s: dict[int, float] = {}
        self.ttl_ms: dict[int, float] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        await asyncio.start_server(self._serve, host, port)
        asyncio.create_task(self._expire())

    # The operator's writes

    def put(self, key: str, document: Any) -> None:
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
        self._wake()

    def remove(self, key: str) -> None:
        self._remove(key)
        self._wake()

    def read(self, key: str) -> Any:
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self.events.append(event)

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> bool:
        if self.lease_until_s.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        self._wake()
        return True

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, until_s in list(self.lease_until_s.items()):
                if until_s <= now_s:
                    self._end_lease(lease)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                parts = urlsplit(request.target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                await asyncio.sleep(0.004)
                status, answer = await self._answer(
                    request.method, parts.path, query, request.body
                )
                headers = {"Content-Type": "application/json"}
                data = json.dumps(answer).encode()
                writer.write(encode_response(status, headers, data))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item)
        if path == "/kv-range":
            after = query.get("after", "")
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query["prefix"]) and key > after
            ]
            page = {"items": found[:500], "has_more": len(found) > 500}
            return 200, page | {"as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(json.loads(body))
        if path == "/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.ttl_ms[lease] = json.loads(body)["ttl_ms"]
            self.lease_until_s[lease] = time.monotonic() + self.ttl_ms[lease] / 1000
            return 200, {"lease": lease, "ttl_ms": self.ttl_ms[lease]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self.lease_until_s:
                return 404, {}
            self.lease_until_s[lease] = time.monotonic() + self.ttl_ms[lease] / 1000
            return 200, {}
        return (200, {}) if self._end_lease(lease) else (404, {})

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, until_s = int(query["after"]), int(query["wait_ms"]) / 1000
        until_s += time.monotonic()
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _commit(self, call: dict[str, Any]) -> tuple[int, Any]:
        keys = [row["key"] for row in call["expected"]]
        for row in call["expected"]:
            current = self.items.get(row["key"], {"revision": 0})
            if current["revision"] != row["revision"]:
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(
            p["lease"] and p["lease"] not in self.lease_until_s for p in call["puts"]
        ):
            return 404, {}
        for put in call["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        for key in call["remove"]:
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}


class Run:
    """A request that a target has begun to work on."""

    __slots__ = ("at_s", "request_id", "upstream")

    def __init__(self, request_id: str, upstream: str) -> None:
        self.at_s = time.monotonic()
        self.request_id = request_id
        self.upstream = upstream


class Upstream:
    """A target: slots, a short queue, a health check and heartbeats."""

    def __init__(
        self,
        vm: Vm,
        service: str,
        slots: int,
        work_s: float,
        record: Record,
        version: str = "v1",
    ) -> None:
        self.vm = vm
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.service, self.version = service, version
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.cold_until_s = 0.0
        self.runs: list[Run] = []
        # Share of the runs whose answer is lost with a reset of the connection.
        self.lost_share = 0.0
        # Share of the runs that fail with a status 500 sent in chunks.
        self.failing_share = 0.0
        self.reports = True
        self.server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, *self.vm.upstream, backlog=256
        )
        asyncio.create_task(self._report())

    @property
    def cold_left_ms(self) -> int:
        return max(0, int((self.cold_until_s - time.monotonic()) * 1000))

    async def beat(self) -> int:
        """Sends a heartbeat; returns the status of the answer, or 0."""
        self._sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": "{}:{}".format(*self.vm.upstream),
                "zone": self.vm.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "warmup_left_ms": self.cold_left_ms,
                "seq": self._sequence,
                "born": self.born,
            }
        ).encode()
        head = (
            f"POST /rpc?call=instances.heartbeat&of={self.id} HTTP/1.1\r\nHost: x\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        answer = await call(self.vm.control, head.encode() + body, 1.0)
        return 0 if answer is None else answer.status

    async def leave(self) -> bool:
        """Reports that it drains, serves on, deregisters; returns the last answer."""
        self.state = "draining"
        if await self.beat() != 200:
            return False
        self.reports = False
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
        head = (
            f"POST /rpc?call=instances.deregister&of={self.id} HTTP/1.1\r\nHost: x\r\n"
            "Content-Type: application/json\r\n"
        )
        body = json.dumps({"born": self.born}).encode()
        head += f"Content-Length: {len(body)}\r\n\r\n"
        answer = await call(self.vm.control, head.encode() + body, 1.0)
        if self.server is not None:
            self.server.close()
        return answer is not None and answer.status == 200

    async def crash(self) -> None:
        """Ends at once: breaks all connections, refuses new ones, reports nothing."""
        self.reports = False
        if self.server is not None:
            self.server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _report(self) -> None:
        while True:
            if self.reports:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                task = asyncio.ensure_future(self._respond(request))
                data = await task
                if data is None:
                    # The answer is lost and the connection is reset.
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _respond(self, request: Message) -> bytes | None:
        request_id = request.header("Request-Id") or ""
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            headers: dict[str, Any] = {"Instance-Id": self.id}
            if self.cold_left_ms:
                headers["Cold-Ms"] = self.cold_left_ms
            return encode_response(status, headers, b"")
        echo = {"Request-Id": request_id}
        if request.header("Expected-Instance") not in (None, self.id):
            return encode_response(421, echo, b"")
        if self._slots.locked() and self._waiting >= self.slots:
            return encode_response(503, echo | {"Not-Executed": "1"}, b"")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs.append(Run(request_id, self.id))
            self._record.line(f"{self.vm.name} {self.id} runs {request_id}")
            await asyncio.sleep(self.work_s)
            if random.random() < self.lost_share:
                self._record.line(f"{self.id} loses the answer to {request_id}")
                return None
            if random.random() < self.failing_share:
                return encode_chunked(500, echo | {"Server-Signature": f"s-{self.id}"})
            signed = echo | {"Server-Signature": f"s-{self.id}"}
            body = f"whole answer to {request_id}".encode()
            return encode_response(200, signed, body)
        finally:
            self._slots.release()


class Vm:
    """A machine: its addresses and its proxy process."""

    def __init__(self, mesh: Mesh, number: int, zone: str, service: str) -> None:
        self.name = f"sidecar-{zone}-{number}"
        self.zone, self.service = zone, service
        self.ip = f"127.{mesh.subnet}.0.{number}"
        ports = [free_port(self.ip) for _ in range(6)]
        addresses = [(self.ip, port) for port in ports]
        self.outbound, self.inbound, self.ready, self.control = addresses[:4]
        self.upstream = addresses[4]
        self._metrics_port = ports[5]
        self.mesh = mesh
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, first_start: bool) -> None:
        mesh = self.mesh
        settings = {
            "vm": self.name,
            "data_centre": self.zone,
            "region": "gulf-south",
            "service": self.service,
            "upstream_address": "{}:{}".format(*self.upstream),
            "callers_address": "{}:{}".format(*self.outbound),
            "proxies_address": "{}:{}".format(*self.inbound),
            "readiness_address": "{}:{}".format(*self.ready),
            "heartbeats_address": "{}:{}".format(*self.control),
            "metrics_port": self._metrics_port,
            "link_mbit_per_s": 1000.0,
            "store_address": "{}:{}".format(*mesh.store_address),
            "heartbeat_ms": HEARTBEAT_MS,
            "first_start": first_start,
        } | BOUNDS
        path = mesh.folder / f"{self.name}.yaml"
        # JSON is YAML; the names are those of deploy/settings.yaml.
        path.write_text(json.dumps(settings))
        log = (mesh.folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "JAYSWITCH_SETTINGS": str(path),
        }
        self.process = await asyncio.create_subprocess_exec(
            *mesh.command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def is_ready(self) -> bool:
        data = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        answer = await call(self.ready, data, 1.0)
        return answer is not None and answer.status == 200

    async def dump(self) -> Any:
        """Returns the state that the proxy's own dump tells, for the record only."""
        data = b"GET /dump HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        answer = await call((self.ip, self._metrics_port), data, 2.0)
        return None if answer is None else json.loads(answer.body or b"null")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Mesh:
    """Store, machines and their processes."""

    def __init__(self, record: Record) -> None:
        self.subnet = random.randrange(100, 250)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.store = Store()
        self.store_address = (f"127.{self.subnet}.1.1", 0)
        self.vms: list[Vm] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["proxy"]["run"].split()
        if not (ROOT / "target" / "deps" / "jayswitch").is_dir():
            raise CannotRun("run the build of deploy/system.toml first")

    async def prepare(self, zones_and_services: list[tuple[str, str]]) -> None:
        """Starts the store and assigns the addresses."""
        host = self.store_address[0]
        self.store_address = (host, free_port(host))
        await self.store.start(*self.store_address)
        for number, (zone, service) in enumerate(zones_and_services, start=1):
            self.vms.append(Vm(self, number, zone, service))

    async def start_processes(self) -> None:
        for vm in self.vms:
            await vm.start(first_start=True)

    async def start(self, zones_and_services: list[tuple[str, str]]) -> None:
        await self.prepare(zones_and_services)
        await self.start_processes()

    async def wait_until_ready(
        self, timeout_s: float = 30.0, vms: list[Vm] | None = None
    ) -> None:
        until_s = time.monotonic() + timeout_s
        for vm in vms or self.vms:
            while not await vm.is_ready():
                if time.monotonic() > until_s:
                    raise CannotRun(f"{vm.name} did not become ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                await vm.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Attempt:
    """One attempt of a client."""

    __slots__ = ("answer", "ended_s", "request_id", "route", "sent_s", "vm")

    def __init__(self, request_id: str, route: str, vm: str) -> None:
        self.request_id, self.route, self.vm = request_id, route, vm
        self.sent_s = self.ended_s = time.monotonic()
        self.answer: Message | None = None

    @property
    def status(self) -> int:
        return 0 if self.answer is None else self.answer.status


class Callers:
    """Clients on a machine; each attempt has a connection and an id of its own."""

    def __init__(self, record: Record) -> None:
        self.attempts: list[Attempt] = []
        self._record = record
        self._serial = 0

    async def send(
        self,
        vm: Vm,
        method: str,
        host: str,
        path: str,
        deadline_ms: int,
        leave_after_s: float | None = None,
    ) -> Attempt:
        """Sends a request; the client leaves early if leave_after_s is given."""
        self._serial += 1
        request_id = f"{random.randrange(1 << 40):010x}{self._serial:06x}"
        attempt = Attempt(request_id, path, vm.name)
        self.attempts.append(attempt)
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        self._record.line(f"client at {vm.name} sends {request_id} {method} {path}")
        timeout_s = leave_after_s or deadline_ms / 1000
        attempt.answer = await call(vm.outbound, data, timeout_s)
        attempt.ended_s = time.monotonic()
        reason = (
            b"" if attempt.status == 200 else (attempt.answer or Message("", [])).body
        )
        left = " (the client left)" if leave_after_s and not attempt.status else ""
        self._record.line(
            f"client at {vm.name} got {attempt.status or 'nothing'}{left} for "
            f"{request_id} {reason[:90].decode('latin-1')}"
        )
        return attempt


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def route(
    name: str, service: str, kind: str, timeout_ms: int, slo_ms: int, **more: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": "mesh.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": slo_ms,
        "priority": 2,
        "max_attempts": 2,
        "service": service,
    } | more


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    cold_per_s: float = 8.5,
) -> dict[str, Any]:
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 110,
                "warmup_s": 3,
                "warmup_per_s": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def play(case: Callable[[Mesh, Callers, bool], Awaitable[int]], folder: Path) -> int:
    """Plays a case; TROUBLE=0 leaves the disruption out."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        mesh = Mesh(record)
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes also if this one is told to stop.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                return await case(mesh, Callers(record), trouble)
        finally:
            await mesh.stop()

    try:
        code = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.line(f"could not run: {error!r}")
        code = CANNOT_RUN
    record.line(f"exit {code}")
    record.close()
    print((folder / "record.txt").read_text().splitlines()[-2][9:])
    return code


def main(case: Callable[[Mesh, Callers, bool], Awaitable[int]], file: str) -> None:
    sys.exit(play(case, Path(file).resolve().parent))
