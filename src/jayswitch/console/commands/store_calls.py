"""Command that sums the calls of a fleet to the store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from jayswitch.console.commands.command import EXIT_OK, Command
from jayswitch.console.commands.requests import parse_lines, read_source
from jayswitch.console.output import print_json, print_table

STORE_CALLS_MESSAGE = "store calls"


class StoreCalls(Command):
    """Sums the calls to the store by kind from the logs of several proxies."""

    words = ("store", "calls")
    arguments = ("log",)
    summary = "sum the calls to the store by kind, from log files"
    example = "jayswitchctl store calls logs/"

    def run(self, *arguments: str) -> int:
        """Prints the number of calls of each kind, most frequent first."""
        (source,) = arguments
        total = sum_store_calls(parse_lines(read_source(source)))
        if self.options.as_json:
            print_json(dict(total))
            return EXIT_OK
        rows = [list(row) for row in total.most_common()]
        print_table(["kind", "calls"], rows, f"no line {STORE_CALLS_MESSAGE!r} found")
        return EXIT_OK


def sum_store_calls(lines: Iterable[dict[str, Any]]) -> Counter[str]:
    """Returns the calls by kind; each log line holds the calls since the previous."""
    total: Counter[str] = Counter()
    for line in lines:
        if line["message"] == STORE_CALLS_MESSAGE:
            total.update(line.get("calls_by_kind", {}))
    return total
