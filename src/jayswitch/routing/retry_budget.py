"""Token bucket that limits retries to a share of the calls."""

from __future__ import annotations

MAX_TOKENS = 10.0
INITIAL_TOKENS = 3.0
PERCENT = 100.0


class RetryBudget:
    """Each call deposits a fraction of a token; a retry costs one token."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        """Starts with a few tokens, so that infrequent calls can be retried."""
        self._tokens = INITIAL_TOKENS

    def deposit(self, percent: int) -> None:
        """Adds the given percentage of a token for one call."""
        self._tokens = min(MAX_TOKENS, self._tokens + percent / PERCENT)

    @property
    def has_token(self) -> bool:
        """Returns whether a retry would be allowed."""
        return self._tokens >= 1.0

    def take(self) -> bool:
        """Takes a token for a retry; returns False if none is left."""
        if not self.has_token:
            return False
        self._tokens -= 1.0
        return True
