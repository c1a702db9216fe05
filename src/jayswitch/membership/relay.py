"""Places a node in the distribution tree, as a relay or below one."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
import msgspec
from returns.result import Failure, Success

from jayswitch.membership.link import LinkRole
from jayswitch.membership.member import KIND_MEMBER, decode_member
from jayswitch.models import Model
from jayswitch.store.exceptions import LeaseExpired

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.config.log import ConfigLog
    from jayswitch.membership.records import RecordTable
    from jayswitch.membership.tree import Tree
    from jayswitch.store.interface import Store, StoredValue

RELAY_PREFIX = "relay/"
LEASE_TTL_MS = 6000
RENEWALS_PER_TTL = 3
WATCH_TIMEOUT_MS = 20_000
CLAIM_JITTER_MS = 2000.0
RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 10_000.0

logger = logging.getLogger(__name__)


class RelaySlot(Model):
    """The holder of a relay slot of a data centre, as written to the store."""

    node: str
    data_centre: str
    slot: int
    control_address: str
    admin_address: str


class Backoff:
    """Exponential backoff with jitter, from RETRY_MIN_MS to RETRY_MAX_MS.

    Each delay is drawn between half the bound and the bound, which then doubles.
    """

    __slots__ = ("_bound_ms", "_random")

    def __init__(self, rng: random.Random) -> None:
        """Initializes a backoff that starts at the shortest delay."""
        self._bound_ms = RETRY_MIN_MS
        self._random = rng

    def next_ms(self) -> float:
        """Returns the next delay."""
        delay_ms = self._random.uniform(self._bound_ms / 2, self._bound_ms)
        self._bound_ms = min(RETRY_MAX_MS, self._bound_ms * 2)
        return delay_ms

    def reset(self) -> None:
        """Resets the bound to the shortest delay."""
        self._bound_ms = RETRY_MIN_MS


class RelayRole:
    """Joins the tree as an ordinary node, or as a relay while it holds a slot's lease.

    A relay watches the log. It is linked to the other relays of its data centre and
    to the relays with the same slot in other data centres. Slots are not exclusive: a
    relay that cannot reach the store does not learn that its lease has expired, so two
    nodes may act as relay for the same slot, which is harmless.
    """

    def __init__(
        self,
        slot: RelaySlot,
        slot_count: int,
        store: Store,
        log: ConfigLog,
        tree: Tree,
        table: RecordTable,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the role; slot describes this node, a claim sets its number."""
        self.slots_by_key: dict[str, RelaySlot] = {}
        self.lease = ""
        self._own_slot = slot
        self._slot_count = slot_count
        self._store = store
        self._log = log
        self._tree = tree
        self._table = table
        self._clock = clock
        self._random = rng
        self._stopped = False
        self._backoff = Backoff(rng)
        tree.on_claim_request = lambda number: eventlet.spawn_n(
            self._handle_claim_request, number
        )

    def start(self) -> None:
        """Starts the task that keeps this node in the tree."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Revokes the lease, so that another node can claim the slot immediately."""
        self._stopped = True
        if self.lease:
            self._store.revoke(self.lease)

    @property
    def relays(self) -> list[RelaySlot]:
        """Returns the relays as last read from the store."""
        return list(self.slots_by_key.values())

    # Joining the tree

    def _run(self) -> None:
        while not self._stopped:
            if self._tree.is_relay or self._tree.parent is not None:
                self._backoff.reset()
                self._clock.sleep_ms(RETRY_MIN_MS)
                continue
            if not self._join_tree():
                self._clock.sleep_ms(self._backoff.next_ms())

    def _join_tree(self) -> bool:
        if not self._read_slots(self._own_prefix()):
            return self._join_any(self._candidate_addresses())
        if self._vacant_slots():
            # Jitter, as many nodes may find the slots vacant at the same time.
            self._clock.sleep_ms(self._random.uniform(0, CLAIM_JITTER_MS))
            if not self._read_slots(self._own_prefix()):
                return False
            vacant = self._vacant_slots()
            if vacant and self._claim(vacant[0]):
                return True
        return self._join_any(self._own_relay_addresses())

    def _own_prefix(self) -> str:
        return f"{RELAY_PREFIX}{self._own_slot.data_centre}/"

    def _key(self, number: int) -> str:
        return f"{self._own_prefix()}{number}"

    def _vacant_slots(self) -> list[int]:
        numbers = range(self._slot_count)
        return [n for n in numbers if self._key(n) not in self.slots_by_key]

    def _own_relay_addresses(self) -> list[str]:
        prefix = self._own_prefix()
        return [
            slot.control_address
            for key, slot in self.slots_by_key.items()
            if key.startswith(prefix) and slot.node != self._own_slot.node
        ]

    def _candidate_addresses(self) -> list[str]:
        addresses = self._own_relay_addresses()
        for record in self._table.by_kind(KIND_MEMBER):
            member = decode_member(record)
            if member is None or member.node == self._own_slot.node:
                continue
            if member.data_centre == self._own_slot.data_centre:
                addresses.append(member.control_address)
        return addresses

    def _join_any(self, addresses: list[str]) -> bool:
        self._random.shuffle(addresses)
        return any(self._tree.join(address) for address in addresses[:3])

    def _read_slots(self, prefix: str) -> bool:
        match self._store.scan(prefix):
            case Success(values):
                self._replace_slots(prefix, values)
                return True
            case Failure(error):
                logger.debug("reading relay slots failed", extra={"reason": str(error)})
        return False

    def _replace_slots(self, prefix: str, values: list[StoredValue]) -> None:
        for key in [key for key in self.slots_by_key if key.startswith(prefix)]:
            del self.slots_by_key[key]
        for value in values:
            try:
                slot = msgspec.json.decode(value.value, type=RelaySlot)
            except msgspec.DecodeError as error:
                logger.error("undecodable relay slot", extra={"reason": str(error)})
                continue
            self.slots_by_key[value.key] = slot

    # Relay slots

    def _handle_claim_request(self, number: int) -> None:
        if not self._tree.is_relay and not self._stopped:
            self._claim(number)

    def _claim(self, number: int) -> bool:
        match self._store.grant_lease(LEASE_TTL_MS):
            case Success(lease):
                pass
            case _:
                return False
        slot = msgspec.structs.replace(self._own_slot, slot=number)
        written = self._store.put(
            self._key(number), msgspec.json.encode(slot), 0, lease
        )
        if isinstance(written, Failure):
            self._store.revoke(lease)
            return False
        self._become_relay(slot, lease)
        return True

    def _become_relay(self, slot: RelaySlot, lease: str) -> None:
        logger.info("relay slot taken", extra={"slot": slot.slot})
        self._tree.counts["relay_slots_taken"] += 1
        self._own_slot = slot
        self.lease = lease
        self._tree.is_relay = True
        parent = self._tree.parent
        if parent is not None:
            self._tree.drop_link(parent)
        for task in (self._renew, self._watch_log, self._watch_relays):
            eventlet.spawn(self._run_while_leased, lease, task)

    def _step_down(self) -> None:
        logger.warning("relay slot lost", extra={"slot": self._own_slot.slot})
        self._tree.counts["relay_slots_lost"] += 1
        self.lease = ""
        self._tree.is_relay = False
        for link in list(self._tree.links_by_peer.values()):
            if link.role is LinkRole.PEER:
                self._tree.drop_link(link)

    def _run_while_leased(self, lease: str, task: Callable[[], float]) -> None:
        """Runs a task repeatedly until the lease is lost.

        The task returns the delay before its next run in ms.
        """
        while self.lease == lease and not self._stopped:
            self._clock.sleep_ms(task())

    def _renew(self) -> float:
        match self._store.keep_alive(self.lease):
            case Failure(LeaseExpired()):
                self._step_down()
        return LEASE_TTL_MS / RENEWALS_PER_TTL * self._random.uniform(0.9, 1.0)

    def _watch_log(self) -> float:
        return self._watch("log/", self._catch_up)

    def _watch_relays(self) -> float:
        return self._watch(RELAY_PREFIX, self._refresh_relays)

    def _watch(self, prefix: str, on_update: Callable[[], bool]) -> float:
        """Calls on_update for the current state and each change until a call fails.

        Returns the delay in ms before the watch is started again.
        """
        start = self._store.watch(prefix, -1, 0)
        if isinstance(start, Failure):
            return self._random.uniform(RETRY_MIN_MS, 4 * RETRY_MIN_MS)
        revision = start.unwrap().revision
        while on_update() and self.lease and not self._stopped:
            match self._store.watch(prefix, revision, WATCH_TIMEOUT_MS):
                case Success(batch):
                    revision = batch.revision
                case _:
                    break
        return self._random.uniform(RETRY_MIN_MS, 4 * RETRY_MIN_MS)

    def _catch_up(self) -> bool:
        return isinstance(self._log.catch_up(), Success)

    def _refresh_relays(self) -> bool:
        if not self._read_slots(RELAY_PREFIX):
            return False
        self._update_peer_links()
        self._request_claims()
        return True

    def _update_peer_links(self) -> None:
        wanted = {slot.node: slot for slot in self.relays if self._is_peer(slot)}
        for link in list(self._tree.links_by_peer.values()):
            if link.role is LinkRole.PEER and link.peer not in wanted:
                self._tree.drop_link(link)
        for node, slot in wanted.items():
            address = slot.control_address
            current = self._tree.links_by_peer.get(node)
            is_peer = current is not None and current.role is LinkRole.PEER
            if current is None or not is_peer or current.address != address:
                self._tree.add_link(node, address, LinkRole.PEER, slot.data_centre)

    def _is_peer(self, slot: RelaySlot) -> bool:
        if slot.node == self._own_slot.node:
            return False
        same_data_centre = slot.data_centre == self._own_slot.data_centre
        return same_data_centre or slot.slot == self._own_slot.slot

    def _request_claims(self) -> None:
        """Asks children to claim the vacant slots of this data centre."""
        children = self._tree.children
        self._random.shuffle(children)
        for number, link in zip(self._vacant_slots(), children):
            link.claim_slot = number
            link.trigger_sync()
