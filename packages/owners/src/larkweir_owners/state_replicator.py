"""Distributes the states of duties to every process once a majority has accepted them. Pure logic.

An update is the complete state of a duty under a version (term, number). A process applies an update only if its
version is above the version held, so versions never decrease. A process forwards each update once, to `FANOUT` others
(rumour mongering), within a budget. Each second it sends one peer a digest of its versions, and each side sends what
the other lacks (anti-entropy). Updates that still do not arrive are read from the replicas. The traffic that a process
sends is therefore independent of the size of the fleet and of the rate of updates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from larkweir_owners.messages import (
    MAX_NAME_CHARS,
    MAX_STATE_BYTES,
    MAX_UPDATES_BYTES,
    NO_VERSION,
    Digest,
    Record,
    StateUpdates,
    Version,
    encode,
)
from larkweir_owners.ports import Registers, Result, Transport

FANOUT = 2  # number of peers to which an update is forwarded
RUMOURS_PER_S = 3.0  # budget for messages that forward updates, beyond a burst of
RUMOUR_BURST = 8.0
MAX_ENTRY_OVERHEAD_BYTES = 96  # size of an update besides its key, names and value
DIGEST_INTERVAL_MS = 1000.0
MAX_DIGEST_KEYS = 64  # limit per digest; successive digests rotate through the keys
FETCH_AFTER_MS = 1500.0  # a newer record that a peer has not sent by then is read from the replicas
MAX_KEYS = 4096

# Returns a random sample of the given size
Sampler: TypeAlias = Callable[[Sequence[str], int], Sequence[str]]


class StateReplicator:
    """Holds the latest record of each duty at this process."""

    def __init__(
        self,
        me: str,
        transport: Transport,
        registers: Registers,
        sample: Sampler,
        on_applied: Callable[[str, Record], None],
        initial_records: Iterable[tuple[str, Record]] = (),
        first_digest_fraction: float = 1.0,
    ) -> None:
        """`on_applied` is called with each applied record, in the order of its versions. `first_digest_fraction`: the
        fraction (0 to 1) of the digest interval to wait before the second digest, so that processes that start together
        don't send their digests at the same times. `initial_records`: the records of an earlier incarnation of this
        process, from a store; without them, the first version that arrives is applied, however old it is.
        """
        self.me = me
        self.records: dict[str, Record] = dict(initial_records)
        self.next_ms = 0.0
        self.applied = 0
        self.stale = 0  # updates older than the version held
        self.skipped = 0  # updates never received because a later one arrived first
        self.fetched = 0  # records read from the replicas
        self._transport, self._registers = transport, registers
        self._sample, self._on_applied = sample, on_applied
        self._watchers: dict[str, Sequence[str]] = {}
        # By key: a peer's newer version, and when it was learned
        self._wanted: dict[str, tuple[Version, float]] = {}
        self._digest_cursor = ""
        self._now_ms = 0.0
        self._digest_fraction = first_digest_fraction
        self._budget, self._budget_ms = RUMOUR_BURST, 0.0

    def version(self, key: str) -> Version:
        """The version held for a key; (0, 0) if there is none."""
        record = self.records.get(key)
        return record.version if record is not None else NO_VERSION

    def apply(self, key: str, record: Record) -> bool:
        """Store a record; return False if its version is not above the version held."""
        known = self.records.get(key)
        if known is not None and not record.version > known.version:
            if record.version != known.version:
                self.stale += 1
            return False
        if known is None and len(self.records) >= MAX_KEYS:
            return False
        if known is not None and record.update_count > known.update_count + 1:
            self.skipped += record.update_count - known.update_count - 1
        self.records[key] = record
        self.applied += 1
        if key in self._wanted and self._wanted[key][0] <= record.version:
            del self._wanted[key]
        self._on_applied(key, record)
        return True

    # ------------------------------------------------ updates of this process

    def set_watchers(self, key: str, names: Sequence[str]) -> None:
        """Set the candidates of a duty, to which `announce_renewal` sends."""
        self._watchers[key] = names

    def announce(self, key: str, record: Record) -> None:
        """Send an update of this process to others. The preferred owner of a released duty gets it first."""
        if self.apply(key, record):
            if record.preferred_owner and record.preferred_owner != self.me:
                self.notify_preferred_owner(key, record)
            self._spread([(key, record)], record.preferred_owner)

    def notify_preferred_owner(self, key: str, record: Record) -> None:
        """Send a released duty to its preferred owner; repeated in case an update was lost."""
        self._transport.post(record.preferred_owner, encode(StateUpdates(((key, record),))))

    def announce_renewal(self, key: str, record: Record) -> None:
        """Tell the candidates that the lease was renewed, so that they need not read. Renewals are not forwarded."""
        for name in self._watchers.get(key, ()):
            self._transport.post(name, encode(StateUpdates(((key, record),))))

    # ------------------------------------------------ updates of other processes

    def on_updates(self, source: str, message: StateUpdates, now_ms: float) -> list[tuple[str, Record]]:
        """Apply updates and forward new ones. Return the updates that were applied."""
        self._now_ms = max(now_ms, self._now_ms)
        applied = [
            (key, record)
            for key, record in message.updates
            if len(key) <= MAX_NAME_CHARS
            and len(record.value) <= MAX_STATE_BYTES
            and not self._is_renewal(key, record)
            and self.apply(key, record)
        ]
        if applied and not self._owner_reaches_all(applied, source):
            self._spread(applied, source)
        return applied

    def _is_renewal(self, key: str, record: Record) -> bool:
        """Whether the record differs from the known one only by a renewed lease."""
        known = self.records.get(key)
        return (
            known is not None
            and record.update_count == known.update_count
            and (record.term, record.owner, record.preferred_owner)
            == (known.term, known.owner, known.preferred_owner)
        )

    def _owner_reaches_all(self, updates: Sequence[tuple[str, Record]], source: str) -> bool:
        """Whether there are so few other processes that the owner sends to all of them itself."""
        has_few_peers = len(set(self._transport.alive()) - {self.me, source}) < FANOUT
        return has_few_peers and all(record.owner == source for _, record in updates)

    def on_digest(self, source: str, message: Digest, now_ms: float) -> None:
        """Send the records that are newer here, and a digest that asks the peer for its newer records."""
        updates: list[tuple[str, Record]] = []
        behind: list[tuple[str, int, int]] = []
        for key, term, number in message.versions[:MAX_DIGEST_KEYS]:
            version = self.version(key)
            if version > (term, number):
                updates.append((key, self.records[key]))
            elif version < (term, number) and len(key) <= MAX_NAME_CHARS:
                behind.append((key, *version))
                if key not in self._wanted and len(self._wanted) < MAX_DIGEST_KEYS:
                    self._wanted[key] = ((term, number), now_ms)
        if updates:
            self._transport.post(source, _encode_updates(updates))
        if behind:
            self._transport.post(source, encode(Digest(tuple(behind))))

    # ------------------------------------------------ periodic work

    def tick(self, now_ms: float) -> None:
        """Send a digest to one peer, and read overdue records from the replicas."""
        self._now_ms = max(now_ms, self._now_ms)
        self.next_ms = now_ms + DIGEST_INTERVAL_MS * self._digest_fraction
        self._digest_fraction = 1.0
        digest = encode(self._next_digest())
        for peer in self._sample([name for name in self._transport.alive() if name != self.me], 1):
            self._transport.post(peer, digest)
        for key, (version, since_ms) in list(self._wanted.items()):
            if self.version(key) >= version:
                del self._wanted[key]
            elif now_ms - since_ms >= FETCH_AFTER_MS:
                self._wanted[key] = (version, now_ms)
                self._registers.read(key, lambda result, key=key: self._on_read(key, result))  # type: ignore[misc]

    def _next_digest(self) -> Digest:
        """Return the versions of the next keys, continuing after the last digest."""
        keys = sorted(self.records)
        after = [key for key in keys if key > self._digest_cursor]
        chosen = (after + keys[: len(keys) - len(after)])[:MAX_DIGEST_KEYS]
        self._digest_cursor = chosen[-1] if len(chosen) == MAX_DIGEST_KEYS else ""
        return Digest(tuple((key, *self.records[key].version) for key in chosen))

    def _on_read(self, key: str, result: Result) -> None:
        if result.record is not None and self.apply(key, result.record):
            self.fetched += 1

    def _spread(self, updates: list[tuple[str, Record]], excluded: str) -> None:
        """Forward updates to some peers within the budget. Updates beyond the budget spread by digests."""
        passed_ms, self._budget_ms = self._now_ms - self._budget_ms, self._now_ms
        self._budget = min(RUMOUR_BURST, self._budget + passed_ms * RUMOURS_PER_S / 1000.0)
        if self._budget < 1.0:
            return
        others = [name for name in self._transport.alive() if name not in (self.me, excluded)]
        message = _encode_updates(updates)
        for peer in self._sample(others, min(FANOUT, int(self._budget))):
            self._budget -= 1.0
            self._transport.post(peer, message)


def _encode_updates(updates: list[tuple[str, Record]]) -> bytes:
    """Encode as many updates as fit in one message; the others follow after a later digest."""
    chosen: list[tuple[str, Record]] = []
    size_bytes = 0
    for key, record in updates:
        name_chars = len(key) + len(record.owner) + len(record.preferred_owner)
        size_bytes += 4 * name_chars + len(record.value) + MAX_ENTRY_OVERHEAD_BYTES
        if chosen and size_bytes > MAX_UPDATES_BYTES:
            break
        chosen.append((key, record))
    return encode(StateUpdates(tuple(chosen)))
