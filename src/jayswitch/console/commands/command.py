"""Base class of the tool's commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

from jayswitch.console.exceptions import UsageError

if TYPE_CHECKING:
    from jayswitch.console.client import AdminClient

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_REVERSED = 3
EXIT_UNREACHABLE = 4


class Options:
    """Flags that several commands heed."""

    __slots__ = ("as_json", "expected_version", "profile", "timeout_s")

    def __init__(
        self,
        as_json: bool = False,
        expected_version: int = -1,
        profile: str = "",
        timeout_s: float = 0.0,
    ) -> None:
        """Takes the flags as given; a version of -1 means none was given."""
        self.as_json = as_json
        self.expected_version = expected_version
        self.profile = profile
        self.timeout_s = timeout_s


class Command(ABC):
    """One command; it raises a JayswitchError for whatever goes wrong."""

    words: ClassVar[tuple[str, str]]
    arguments: ClassVar[tuple[str, ...]] = ()
    summary: ClassVar[str]
    example: ClassVar[str]

    def __init__(self, client: AdminClient, options: Options) -> None:
        """Takes the connection and the flags."""
        self.client = client
        self.options = options

    @abstractmethod
    def run(self, *arguments: str) -> int:
        """Runs the command and returns its exit code."""

    @classmethod
    def usage(cls) -> str:
        """Returns the command's words and arguments."""
        arguments = [argument.upper() for argument in cls.arguments]
        return " ".join([*cls.words, *arguments])

    def invoke(self, arguments: list[str]) -> int:
        """Checks the number of arguments and runs the command."""
        if len(arguments) != len(self.arguments):
            raise UsageError(
                f"'{' '.join(self.words)}' takes {len(self.arguments)} arguments",
                f"call it as 'jayswitchctl {self.usage()}'",
            )
        return self.run(*arguments)
