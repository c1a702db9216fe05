"""Commands on nodes and upstreams."""

from __future__ import annotations

from jayswitch.console.commands.command import EXIT_OK, EXIT_USAGE, Command
from jayswitch.console.output import print_json, print_table
from jayswitch.settings.loader import load_settings


class NodesList(Command):
    """Lists the nodes."""

    words = ("nodes", "list")
    summary = "list the nodes, the active versions and the lagging nodes"
    example = "jayswitchctl nodes list"

    def run(self, *arguments: str) -> int:
        """Prints the relays' reports, then a row for each node."""
        fleet = self.client.get("nodes").unwrap()
        if self.options.as_json:
            print_json(fleet)
            return EXIT_OK
        print(f"newest configuration version: {fleet['newest_version']}")
        rows = [
            [
                status["data_centre"],
                status["node"],
                status["nodes"],
                status["lowest_version"],
                "; ".join(status["lagging"]) or "none",
            ]
            for status in fleet["relays"]
        ]
        columns = ["data centre", "relay", "nodes", "lowest version", "lagging"]
        print_table(columns, rows, "no relay has reported yet")
        print()
        rows = [
            [node["node"], node["data_centre"], node["service"], node["admin_address"]]
            for node in fleet["nodes"]
        ]
        print_table(["node", "data centre", "service", "admin"], rows, "no nodes")
        return EXIT_OK


class UpstreamsList(Command):
    """Lists the upstreams."""

    words = ("upstreams", "list")
    summary = "list the upstreams that have announced themselves"
    example = "jayswitchctl upstreams list"

    def run(self, *arguments: str) -> int:
        """Prints a row for each upstream."""
        upstreams = self.client.get("upstreams").unwrap()
        if self.options.as_json:
            print_json(upstreams)
            return EXIT_OK
        keys = ["service", "version", "node", "data_centre", "state", "slots"]
        rows = [[upstream[key] for key in keys] for upstream in upstreams]
        columns = ["service", "version", "node", "data centre", "state", "slots"]
        print_table(columns, rows, "no upstream has announced itself")
        return EXIT_OK


class NodeDumpCommand(Command):
    """Prints a node's state."""

    words = ("node", "dump")
    summary = "print the complete state of the node given by --node, as JSON"
    example = "jayswitchctl node dump --node=http://127.0.0.1:7101"

    def run(self, *arguments: str) -> int:
        """Prints the dump as JSON."""
        print_json(self.client.get("dump").unwrap())
        return EXIT_OK


class SettingsCheck(Command):
    """Checks a settings file."""

    words = ("settings", "check")
    arguments = ("file",)
    summary = "check a settings file without starting a node"
    example = "jayswitchctl settings check node.yaml"

    def run(self, *arguments: str) -> int:
        """Prints the first error; the exit code is 2 if there is one."""
        result = load_settings(arguments[0])
        error_text = result.swap().map(str).value_or("")
        print(error_text or f"{arguments[0]} is valid")
        return EXIT_USAGE if error_text else EXIT_OK
