"""Serves the changes under a prefix to other proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayswitch.feed.messages import FeedChange, FeedRequest, FeedResponse, pack
from jayswitch.store.prefix_state import LONG_VALUE_BYTES

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.store.interface import WatchEvent
    from jayswitch.store.prefix_state import PrefixState

MAX_WAIT_MS = 10_000.0


class FeedServer:
    """Responds once the requester lacks a change or its wait time has elapsed."""

    def __init__(self, clock: Clock) -> None:
        """Initializes the server without prefixes."""
        self._clock = clock
        self._state_by_prefix: dict[str, PrefixState] = {}
        self._packed_cache: dict[tuple[str, int], FeedChange] = {}

    def serve(self, prefix: str, state: PrefixState) -> None:
        """Adds a prefix to serve from its state."""
        self._state_by_prefix[prefix] = state

    def respond(self, request: FeedRequest) -> FeedResponse | None:
        """Waits for and returns changes; None if the prefix has not been read yet."""
        state = self._state_by_prefix.get(request.prefix)
        if state is None:
            return None
        state.wait_for_change(request.after, min(request.wait_ms, MAX_WAIT_MS))
        if not state.is_synced:
            return None
        changes = state.changes_after(request.after)
        is_whole = changes is None
        if changes is None:
            changes = [c for c in state.change_by_key.values() if c.value is not None]
        packed = [self._pack(state, change, request.held) for change in changes]
        store_age_ms = self._clock.now_ms() - state.store_contact_ms
        return FeedResponse(state.revision, is_whole, store_age_ms, packed)

    def _pack(
        self, state: PrefixState, change: WatchEvent, held: dict[str, int]
    ) -> FeedChange:
        if len(change.value or b"") < LONG_VALUE_BYTES:
            return pack(change.key, change.revision, change.value, 0, None)
        base = held.get(change.key, 0)
        value = state.previous_value(change.key, base)
        cache_key = (change.key, base if value is not None else 0)
        packed = self._packed_cache.get(cache_key)
        if packed is None or packed.revision != change.revision:
            packed = pack(change.key, change.revision, change.value, base, value)
            self._cache_packed(cache_key, packed)
        return packed

    def _cache_packed(self, cache_key: tuple[str, int], packed: FeedChange) -> None:
        """Caches a packed change for other requesters; drops older ones of the key."""
        self._packed_cache = {
            cached_key: cached
            for cached_key, cached in self._packed_cache.items()
            if cached.key != packed.key or cached.revision == packed.revision
        }
        self._packed_cache[cache_key] = packed
