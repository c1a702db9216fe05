"""Base class of the jayswitchctl commands."""

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
    """Command-line flags shared by several commands."""

    __slots__ = ("as_json", "expected_version", "profile", "timeout_s")

    def __init__(
        self,
        as_json: bool = False,
        expected_version: int = -1,
        profile: str = "",
        timeout_s: float = 0.0,
    ) -> None:
        """Initializes the options; expected version -1 means that none was given."""
        self.as_json = as_json
        self.expected_version = expected_version
        self.profile = profile
        self.timeout_s = timeout_s


class Command(ABC):
    """A command; failures are raised as JayswitchError."""

    words: ClassVar[tuple[str, str]]
    arguments: ClassVar[tuple[str, ...]] = ()
    summary: ClassVar[str]
    example: ClassVar[str]

    def __init__(self, client: AdminClient, options: Options) -> None:
        """Initializes the command with the API client and the flags."""
        self.client = client
        self.options = options

    @abstractmethod
    def run(self, *arguments: str) -> int:
        """Executes the command and returns its exit code."""

    @classmethod
    def usage(cls) -> str:
        """Returns the usage line: the command's words and arguments."""
        arguments = [argument.upper() for argument in cls.arguments]
        return " ".join([*cls.words, *arguments])

    def invoke(self, arguments: list[str]) -> int:
        """Checks the number of arguments and runs the command."""
        if len(arguments) != len(self.arguments):
            raise UsageError(
                f"'{' '.join(self.words)}' takes {len(self.arguments)} arguments",
                f"usage: 'jayswitchctl {self.usage()}'",
            )
        return self.run(*arguments)
