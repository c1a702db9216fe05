"""Commands on data centres."""

from __future__ import annotations

from jayswitch.console.commands.command import EXIT_OK, Command
from jayswitch.console.output import print_json, print_table


class DataCentresList(Command):
    """Lists the data centres."""

    words = ("data-centres", "list")
    summary = "list the data centres and whether they are in service"
    example = "jayswitchctl data-centres list"

    def run(self, *arguments: str) -> int:
        """Prints a row for each data centre."""
        states = self.client.get("data-centres").unwrap()
        if self.options.as_json:
            print_json(states)
            return EXIT_OK
        rows = [[item["data_centre"], item["state"]] for item in states]
        print_table(["data centre", "state"], rows, "no data centres known")
        return EXIT_OK


class DataCentresOut(Command):
    """Takes a data centre out of service."""

    words = ("data-centres", "out")
    arguments = ("name",)
    summary = "stop routing new calls to a data centre; calls in flight finish"
    example = "jayswitchctl data-centres out bunbury"
    state = "out"

    def run(self, *arguments: str) -> int:
        """Sets the state of the data centre."""
        path = f"data-centres/{arguments[0]}/{self.state}"
        expected = self.options.expected_version
        response = self.client.request("POST", path, b"", expected).unwrap()
        print(f"{arguments[0]} is {self.state} as of version {response['version']}")
        return EXIT_OK


class DataCentresIn(DataCentresOut):
    """Returns a data centre to service."""

    words = ("data-centres", "in")
    summary = "return a data centre to service; its upstreams warm up gradually"
    example = "jayswitchctl data-centres in bunbury"
    state = "in"
