"""Output of responses as tables or as JSON."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from tabulate import tabulate

MS_PER_S = 1000


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    text = msgspec.json.encode(value)
    print(msgspec.json.format(text, indent=2).decode())


def print_table(columns: list[str], rows: list[list[Any]], empty: str) -> None:
    """Prints rows under their column names, or the empty text if there are none."""
    if not rows:
        print(empty)
        return
    print(tabulate(rows, headers=columns, tablefmt="plain", disable_numparse=True))


def format_local_time(wall_ms: int) -> str:
    """Formats a wall-clock time in the local time zone; empty for 0."""
    if not wall_ms:
        return ""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(wall_ms / MS_PER_S))
