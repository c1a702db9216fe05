"""Commands that analyse proxy logs."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from jayswitch.console.commands.command import EXIT_OK, EXIT_REFUSED, Command
from jayswitch.console.exceptions import UsageError
from jayswitch.console.output import print_json

STDIN_ARGUMENT = "-"
# State changes of a proxy that may explain the outcome of a request, shown along with
# the lines that carry its id.
CONTEXT_MS = 3000
CONTEXT_MESSAGES = frozenset(
    (
        "configuration in force",
        "data centre out of service",
        "data centre back in service",
        "draining",
        "fallen behind another proxy; reading the prefix again",
        "feed closed",
        "feed opened",
        "relay has lost the store",
        "started",
        "store lost",
        "store regained",
        "upstream suspected",
        "upstream answers again",
        "version found bad",
        "version withdrawn here",
    )
)
_LEADING_FIELDS = ("time", "vm", "message", "request_id", "level", "logger")


class RequestsExplain(Command):
    """Traces one request through the logs of several proxies."""

    words = ("requests", "explain")
    arguments = ("id", "log")
    summary = "trace a request through log files or a directory of them"
    example = "jayswitchctl requests explain 9c41d07be2a35f68 logs/"

    def run(self, *arguments: str) -> int:
        """Prints the log lines of a request and of its context, ordered by time."""
        request_id, source = arguments
        lines = list(parse_lines(read_source(source)))
        selected = select_lines(request_id, lines)
        if not selected:
            print(f"no log line has request id {request_id}", file=sys.stderr)
            return EXIT_REFUSED
        if self.options.as_json:
            print_json(selected)
            return EXIT_OK
        for line in selected:
            print(format_line(line))
        return EXIT_OK


def read_source(source: str) -> Iterator[str]:
    """Yields the lines of standard input, a file, or all files below a directory."""
    if source == STDIN_ARGUMENT:
        yield from sys.stdin
        return
    path = Path(source)
    if not path.exists():
        raise UsageError(f"no log found at {source}", "name a file, a directory or -")
    files = sorted(path.rglob("*")) if path.is_dir() else [path]
    for file in files:
        if file.is_file():
            with file.open(encoding="utf-8", errors="replace") as stream:
                yield from stream


def parse_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the JSON log objects in lines, without text that precedes an object."""
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            line = json.loads(text[begin:])
        except ValueError:
            continue
        if isinstance(line, dict) and "message" in line:
            yield line


def select_lines(request_id: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns a request's lines and the state changes of its proxies, by time."""
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return []
    begin = _subtract_ms(min(line["time"] for line in own), CONTEXT_MS)
    end = max(line["time"] for line in own)
    vms = {line["vm"] for line in own}
    context = [
        line
        for line in lines
        if line["message"] in CONTEXT_MESSAGES
        and line["vm"] in vms
        and begin <= line["time"] <= end
    ]
    return sorted(own + context, key=lambda line: line["time"])


def format_line(line: dict[str, Any]) -> str:
    """Formats a line as text: time, VM, message and the remaining fields."""
    fields = ", ".join(
        f"{name}={value}" for name, value in line.items() if name not in _LEADING_FIELDS
    )
    return f"{line['time']}  {line['vm']:24} {line['message']}: {fields}"


def _subtract_ms(timestamp: str, by_ms: int) -> str:
    parsed = datetime.strptime(timestamp, "%Y-%m-%d %H:%M:%S,%f")
    earlier = parsed - timedelta(milliseconds=by_ms)
    return earlier.strftime("%Y-%m-%d %H:%M:%S,%f")[:-3]
