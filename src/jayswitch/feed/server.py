"""Serves what this proxy knows of a prefix to other proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayswitch.feed.messages import FeedAnswer, FeedChange, FeedRequest, pack

if TYPE_CHECKING:
    from jayswitch.store.interface import WatchEvent
    from jayswitch.store.prefix_state import PrefixState

LONGEST_WAIT_MS = 10_000.0


class FeedServer:
    """Answers requests as soon as a change is known that the asker lacks."""

    def __init__(self) -> None:
        """Serves nothing yet."""
        self._state_by_prefix: dict[str, PrefixState] = {}
        self._packed_by_base: dict[tuple[str, int], FeedChange] = {}

    def serve(self, prefix: str, state: PrefixState) -> None:
        """Serves what is known of a prefix."""
        self._state_by_prefix[prefix] = state

    def answer(self, request: FeedRequest) -> FeedAnswer | None:
        """Returns the changes, after waiting; None where nothing is known yet."""
        state = self._state_by_prefix.get(request.prefix)
        if state is None:
            return None
        state.wait_for_change(request.after, min(request.wait_ms, LONGEST_WAIT_MS))
        if not state.is_synced:
            return None
        changes = state.changes_after(request.after)
        is_whole = changes is None
        if changes is None:
            changes = [c for c in state.change_by_key.values() if c.value is not None]
        packed = [self._pack(state, change, request.held) for change in changes]
        return FeedAnswer(state.revision, is_whole, state.is_current, packed)

    def _pack(
        self, state: PrefixState, change: WatchEvent, held: dict[str, int]
    ) -> FeedChange:
        base = held.get(change.key, 0)
        value = state.previous_value(change.key, base)
        place = (change.key, base if value is not None else 0)
        packed = self._packed_by_base.get(place)
        if packed is None or packed.revision != change.revision:
            packed = pack(change.key, change.revision, change.value, base, value)
            self._keep(place, packed)
        return packed

    def _keep(self, place: tuple[str, int], packed: FeedChange) -> None:
        """Keeps a packed change for others that ask for the same."""
        self._packed_by_base = {
            known_place: known
            for known_place, known in self._packed_by_base.items()
            if known.key != packed.key or known.revision == packed.revision
        }
        self._packed_by_base[place] = packed
