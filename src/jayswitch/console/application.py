"""jayswitchctl, the command-line tool for operators."""

from __future__ import annotations

import getpass
import os
import sys

from absl import app, flags
from returns.primitives.exceptions import UnwrapFailedError

from jayswitch.console.client import AdminClient
from jayswitch.console.commands import (
    data_centres,
    fleet,
    moves,
    profiles,
    requests,
    services,
    store_calls,
)
from jayswitch.console.commands.command import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Command,
    Options,
)
from jayswitch.console.exceptions import NodeUnreachable, UsageError
from jayswitch.exceptions import JayswitchError

FLAGS = flags.FLAGS

flags.DEFINE_list(
    "node",
    os.environ.get("JAYSWITCH_NODE", "http://127.0.0.1:7101"),
    "Admin addresses of nodes, tried in order; default from JAYSWITCH_NODE.",
)
flags.DEFINE_string(
    "token", "", "Operator's token; prefer the environment variable JAYSWITCH_TOKEN."
)
flags.DEFINE_bool("json", False, "Print JSON instead of tables.")
flags.DEFINE_integer(
    "expected_version", -1, "Reject the change unless the object has this version."
)
flags.DEFINE_string("profile", "", "Profile to assign to a service.")
flags.DEFINE_float("timeout_s", 0.0, "Time-out of 'moves wait', in seconds.")

COMMANDS: list[type[Command]] = [
    profiles.ProfilesList,
    profiles.ProfilesGet,
    profiles.ProfilesApply,
    profiles.ProfilesDiff,
    profiles.ProfilesHistory,
    profiles.ProfilesDelete,
    services.ServicesList,
    services.ServicesSet,
    services.ServicesDelete,
    data_centres.DataCentresList,
    data_centres.DataCentresOut,
    data_centres.DataCentresIn,
    moves.MovesList,
    moves.MovesStatus,
    moves.MovesWait,
    moves.MovesAbort,
    fleet.NodesList,
    fleet.UpstreamsList,
    fleet.NodeDumpCommand,
    fleet.SettingsCheck,
    requests.RequestsExplain,
    store_calls.StoreCalls,
]
COMMAND_BY_WORDS = {command.words: command for command in COMMANDS}


def help_text() -> str:
    """Returns the help text: all commands, with examples."""
    lines = ["usage: jayswitchctl [flags] COMMAND", ""]
    for command in COMMANDS:
        lines.append(f"  {command.usage():28} {command.summary}")
    lines += ["", "examples:"]
    lines += [f"  {command.example}" for command in COMMANDS]
    lines += ["", "flags: jayswitchctl --helpshort"]
    return "\n".join(lines)


def execute(words: list[str], client: AdminClient, options: Options) -> int:
    """Runs the command given by its words and arguments; returns the exit code."""
    if not words or words == ["help"]:
        print(help_text())
        return EXIT_OK if words else EXIT_USAGE
    try:
        command = COMMAND_BY_WORDS.get((words[0], words[1] if words[1:] else ""))
        if command is None:
            raise UsageError(
                f"unknown command {' '.join(words[:2])!r}",
                "run 'jayswitchctl help' for the list of commands",
            )
        return command(client, options).invoke(words[2:])
    except UnwrapFailedError as failed:
        return report(failed.halted_container.failure())
    except JayswitchError as error:
        return report(error)


def report(error: JayswitchError) -> int:
    """Prints an error and its remedy to standard error; returns the exit code."""
    print(f"jayswitchctl: {error}", file=sys.stderr)
    if isinstance(error, UsageError):
        return EXIT_USAGE
    if isinstance(error, NodeUnreachable):
        return EXIT_UNREACHABLE
    return EXIT_REFUSED


def main(argv: list[str]) -> int:
    """Runs the command from the command line; returns its exit code."""
    token = FLAGS.token or os.environ.get("JAYSWITCH_TOKEN", "")
    client = AdminClient(FLAGS.node, token, getpass.getuser())
    options = Options(
        FLAGS.json, FLAGS.expected_version, FLAGS.profile, FLAGS.timeout_s
    )
    return execute(argv[1:], client, options)


def run() -> None:
    """Entry point of jayswitchctl."""
    app.run(main)


if __name__ == "__main__":
    run()
