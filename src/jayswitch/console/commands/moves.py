"""Commands for moves from one version of a service to another."""

from __future__ import annotations

import time
from typing import Any

from jayswitch.console.commands.command import EXIT_OK, EXIT_REVERSED, Command
from jayswitch.console.exceptions import UsageError
from jayswitch.console.output import format_local_time, print_json, print_table

POLL_S = 0.5
DEFAULT_WAIT_S = 3600.0


def describe_status(move: dict[str, Any]) -> str:
    """Returns the status of a move: under way, done or reversed."""
    if not move["ended_ms"]:
        return "under way"
    return "done" if move["done"] else "reversed"


class MovesList(Command):
    """Lists the moves."""

    words = ("moves", "list")
    summary = "list the active moves and the most recently ended ones"
    example = "jayswitchctl moves list"

    def run(self, *arguments: str) -> int:
        """Prints a row for each move."""
        moves = self.client.get("moves").unwrap()
        if self.options.as_json:
            print_json(moves)
            return EXIT_OK
        rows = []
        for move in moves:
            change = f"{move['from_version']} -> {move['to_version']}"
            deadline = format_local_time(move["deadline_ms"])
            share = f"{move['percent']}%"
            status = describe_status(move)
            rows.append([move["id"], change, share, deadline, status, move["reason"]])
        columns = ["move", "versions", "share", "deadline", "status", "evidence"]
        print_table(columns, rows, "no moves")
        return EXIT_OK


class MovesStatus(Command):
    """Shows one move."""

    words = ("moves", "status")
    arguments = ("id",)
    summary = "show a move with its evidence"
    example = "jayswitchctl moves status everyday.herdview.12"

    def run(self, *arguments: str) -> int:
        """Prints all fields of the move."""
        move = self.client.get(f"moves/{arguments[0]}").unwrap()
        if self.options.as_json:
            print_json(move)
            return EXIT_OK
        rows = [["status", describe_status(move)]]
        for key, value in move.items():
            rows.append(
                [key, format_local_time(value) if key.endswith("_ms") else value]
            )
        print_table(["field", "value"], rows, "")
        return EXIT_OK


class MovesWait(Command):
    """Waits until a move ends."""

    words = ("moves", "wait")
    arguments = ("id",)
    summary = "wait until a move is done (exit code 0) or reversed (3)"
    example = "jayswitchctl moves wait everyday.herdview.12 --timeout_s=600"

    def run(self, *arguments: str) -> int:
        """Polls until the move ends or the time-out expires; prints the result."""
        deadline_s = time.monotonic() + (self.options.timeout_s or DEFAULT_WAIT_S)
        while time.monotonic() < deadline_s:
            move = self.client.get(f"moves/{arguments[0]}").unwrap()
            if move["ended_ms"]:
                print(f"{move['id']} {describe_status(move)}: {move['reason']}")
                return EXIT_OK if move["done"] else EXIT_REVERSED
            time.sleep(POLL_S)
        raise UsageError(
            f"move {arguments[0]} did not end before the time-out",
            "raise --timeout_s, or check 'jayswitchctl moves status'",
        )


class MovesAbort(Command):
    """Rolls a move back."""

    words = ("moves", "abort")
    arguments = ("id",)
    summary = "abort a move and roll the service back to the old version"
    example = "jayswitchctl moves abort everyday.herdview.12"

    def run(self, *arguments: str) -> int:
        """Aborts the move; the profile targets the old version again."""
        path = f"moves/{arguments[0]}/abort"
        response = self.client.request("POST", path).unwrap()
        print(f"{arguments[0]} aborted in version {response['version']}")
        return EXIT_OK
