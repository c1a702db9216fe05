"""Commands for profiles."""

from __future__ import annotations

import difflib
from pathlib import Path
from typing import Any

import msgspec
import yaml
from returns.result import Failure

from jayswitch.console.commands.command import EXIT_OK, EXIT_REFUSED, Command
from jayswitch.console.exceptions import ApiError, UsageError
from jayswitch.console.output import format_local_time, print_json, print_table
from jayswitch.profiles.loader import load_profile


def read_profile(path: str) -> Any:
    """Returns the profile in a file as built-in types, checked against the schema."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}", "check the path") from None
    return msgspec.to_builtins(load_profile(text).unwrap())


def to_yaml(profile: Any) -> str:
    """Returns a profile as YAML, with its keys in the schema's order."""
    return yaml.safe_dump(profile, sort_keys=False)


class ProfilesList(Command):
    """Lists the profiles."""

    words = ("profiles", "list")
    summary = "list the profiles and their target versions"
    example = "jayswitchctl profiles list"

    def run(self, *arguments: str) -> int:
        """Prints a row for each profile."""
        states = self.client.get("profiles").unwrap()
        if self.options.as_json:
            print_json(states)
            return EXIT_OK
        rows = []
        for state in states:
            profile = state["profile"]
            targets = profile["targets"]
            target_versions = ", ".join(
                f"{t['service']}={t['version']}" for t in targets
            )
            count = len(profile["routes"])
            rows.append([profile["name"], state["version"], count, target_versions])
        columns = ["profile", "version", "routes", "targets"]
        print_table(columns, rows, "no profiles")
        return EXIT_OK


class ProfilesGet(Command):
    """Prints a profile."""

    words = ("profiles", "get")
    arguments = ("name",)
    summary = "print a profile as YAML"
    example = "jayswitchctl profiles get everyday > everyday.yaml"

    def run(self, *arguments: str) -> int:
        """Prints the profile in the format that 'profiles apply' reads."""
        state = self.client.get(f"profiles/{arguments[0]}").unwrap()
        if self.options.as_json:
            print_json(state)
        else:
            print(to_yaml(state["profile"]), end="")
        return EXIT_OK


class ProfilesApply(Command):
    """Creates or replaces a profile."""

    words = ("profiles", "apply")
    arguments = ("file",)
    summary = "create or replace a profile from a YAML file"
    example = "jayswitchctl profiles apply everyday.yaml --expected_version=12"

    def run(self, *arguments: str) -> int:
        """Applies the file; a changed target version starts a move."""
        profile = read_profile(arguments[0])
        name = profile["name"]
        expected = self.options.expected_version
        if expected < 0:
            expected = self._current_version(name)
        body = msgspec.json.encode(profile)
        path = f"profiles/{name}"
        response = self.client.request("PUT", path, body, expected).unwrap()
        if self.options.as_json:
            print_json(response)
        else:
            print(f"profile {name} accepted as version {response['version']}")
        return EXIT_OK

    def _current_version(self, name: str) -> int:
        found = self.client.get(f"profiles/{name}")
        if isinstance(found, Failure) and isinstance(found.failure(), ApiError):
            if found.failure().error_code == "no-such-object":
                return 0
        return found.unwrap()["version"]


class ProfilesDiff(Command):
    """Compares a file with the active profile."""

    words = ("profiles", "diff")
    arguments = ("file",)
    summary = "show what applying a file would change; exit code 1 on differences"
    example = "jayswitchctl profiles diff everyday.yaml"

    def run(self, *arguments: str) -> int:
        """Prints a unified diff from the active profile to the file."""
        profile = read_profile(arguments[0])
        name = profile["name"]
        states = self.client.get("profiles").unwrap()
        current = [s["profile"] for s in states if s["profile"]["name"] == name]
        before = to_yaml(current[0]) if current else ""
        lines = difflib.unified_diff(
            before.splitlines(), to_yaml(profile).splitlines(), "in force", "file"
        )
        text = "\n".join(line.rstrip("\n") for line in lines)
        if text:
            print(text)
        return EXIT_REFUSED if text else EXIT_OK


class ProfilesHistory(Command):
    """Lists the changes of a profile."""

    words = ("profiles", "history")
    arguments = ("name",)
    summary = "list the changes of a profile with time and author"
    example = "jayswitchctl profiles history everyday"

    def run(self, *arguments: str) -> int:
        """Prints a row for each recent change."""
        state = self.client.get(f"profiles/{arguments[0]}").unwrap()
        if self.options.as_json:
            print_json(state["history"])
            return EXIT_OK
        rows = [
            [
                item["version"],
                format_local_time(item["at_ms"]),
                item["author"],
                item["summary"],
            ]
            for item in state["history"]
        ]
        print_table(["version", "time", "author", "change"], rows, "no changes")
        return EXIT_OK


class ProfilesDelete(Command):
    """Deletes a profile."""

    words = ("profiles", "delete")
    arguments = ("name",)
    summary = "delete a profile that no service uses"
    example = "jayswitchctl profiles delete everyday"

    def run(self, *arguments: str) -> int:
        """Deletes the profile."""
        expected = self.options.expected_version
        path = f"profiles/{arguments[0]}"
        response = self.client.request("DELETE", path, b"", expected).unwrap()
        print(f"profile {arguments[0]} deleted in version {response['version']}")
        return EXIT_OK
