"""Commands for services."""

from __future__ import annotations

from jayswitch.console.commands.command import EXIT_OK, Command
from jayswitch.console.output import print_json, print_table


class ServicesList(Command):
    """Lists the services."""

    words = ("services", "list")
    summary = "list the services and their profiles"
    example = "jayswitchctl services list"

    def run(self, *arguments: str) -> int:
        """Prints a row for each service."""
        services = self.client.get("services").unwrap()
        if self.options.as_json:
            print_json(services)
            return EXIT_OK
        rows = [[item["service"], item["profile"] or "-"] for item in services]
        print_table(["service", "profile"], rows, "no services")
        return EXIT_OK


class ServicesSet(Command):
    """Declares a service."""

    words = ("services", "set")
    arguments = ("name",)
    summary = "declare a service, or assign it a profile with --profile"
    example = "jayswitchctl services set herdview --profile=everyday"

    def run(self, *arguments: str) -> int:
        """Declares the service and assigns its profile."""
        body = self.options.profile.encode()
        response = self.client.request("PUT", f"services/{arguments[0]}", body).unwrap()
        print(f"service {arguments[0]} set in version {response['version']}")
        return EXIT_OK


class ServicesDelete(Command):
    """Removes a service that no profile depends on."""

    words = ("services", "delete")
    arguments = ("name",)
    summary = "remove a service that no profile depends on"
    example = "jayswitchctl services delete herdview"

    def run(self, *arguments: str) -> int:
        """Removes the service."""
        response = self.client.request("DELETE", f"services/{arguments[0]}").unwrap()
        print(f"service {arguments[0]} removed in version {response['version']}")
        return EXIT_OK
