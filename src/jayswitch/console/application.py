"""jayswitchctl: the operators' tool."""

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
    "Administration addresses of nodes, tried in turn; or JAYSWITCH_NODE.",
)
flags.DEFINE_string(
    "token", "", "Operator's token; better given in the variable JAYSWITCH_TOKEN."
)
flags.DEFINE_bool("json", False, "Print JSON for scripts instead of tables.")
flags.DEFINE_integer(
    "expected_version", -1, "Refuse the change unless the object is at this version."
)
flags.DEFINE_string("profile", "", "Profile that a service picks.")
flags.DEFINE_float("timeout_s", 0.0, "Longest wait of 'moves wait', in seconds.")

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
]
COMMAND_BY_WORDS = {command.words: command for command in COMMANDS}


def help_text() -> str:
    """Returns the list of commands with examples."""
    lines = ["usage: jayswitchctl [flags] COMMAND", ""]
    for command in COMMANDS:
        lines.append(f"  {command.usage():28} {command.summary}")
    lines += ["", "examples:"]
    lines += [f"  {command.example}" for command in COMMANDS]
    lines += ["", "flags: jayswitchctl --helpshort"]
    return "\n".join(lines)


def execute(words: list[str], client: AdminClient, options: Options) -> int:
    """Runs the command that the words name; returns the exit code."""
    if not words or words == ["help"]:
        print(help_text())
        return EXIT_OK if words else EXIT_USAGE
    try:
        command = COMMAND_BY_WORDS.get((words[0], words[1] if words[1:] else ""))
        if command is None:
            raise UsageError(
                f"there is no command {' '.join(words[:2])!r}",
                "'jayswitchctl help' lists them",
            )
        return command(client, options).invoke(words[2:])
    except UnwrapFailedError as failed:
        return report(failed.halted_container.failure())
    except JayswitchError as error:
        return report(error)


def report(error: JayswitchError) -> int:
    """Prints an error with its remedy; returns the exit code."""
    print(f"jayswitchctl: {error}", file=sys.stderr)
    if isinstance(error, UsageError):
        return EXIT_USAGE
    if isinstance(error, NodeUnreachable):
        return EXIT_UNREACHABLE
    return EXIT_REFUSED


def main(argv: list[str]) -> int:
    """Returns the exit code of the command."""
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
