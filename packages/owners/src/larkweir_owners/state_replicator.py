"""How the states of duties reach every process once a majority has accepted them. Pure logic.

An update is the complete state of its duty under a version (term, number). A process applies it if its version is above
the one held, and never goes back. An update is passed on once, to `FANOUT` others (rumours), while the budget lasts;
each second one peer gets a digest of the versions held, and both send what the other lacks (anti-entropy). What does
not arrive then is read from the replicas. So a process sends the same however large the fleet is, and however much
happens.
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

FANOUT = 2  # peers that an update is passed on to
RUMOURS_PER_S = 3.0  # messages that pass updates on, beyond a burst of
RUMOUR_BURST = 8.0
MAX_ENTRY_OVERHEAD_BYTES = 96  # of an update besides its key, names and value
DIGEST_INTERVAL_MS = 1000.0
MAX_DIGEST_KEYS = 64  # in one digest; further ones take turns
FETCH_AFTER_MS = 1500.0  # until what a peer has and did not send is read from the replicas
MAX_KEYS = 4096

Sampler: TypeAlias = Callable[[Sequence[str], int], Sequence[str]]  # so many of these, at random


class StateReplicator:
    """The record of each duty that this process holds."""

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
        """`on_applied` is called with each record that is applied, in the order of its versions.
        `first_digest_fraction`: 0 to 1, of the interval until the second digest, so that processes that start together
        don't send theirs at the same moments. `initial_records`: what an earlier incarnation of this process held, from
        a store; without it the first versions that arrive are applied, whichever they are.
        """
        self.me = me
        self.records: dict[str, Record] = dict(initial_records)
        self.next_ms = 0.0
        self.applied = 0
        self.stale = 0  # updates that were older than what is held
        self.skipped = 0  # updates that were overtaken by a later one
        self.fetched = 0  # records that were read from the replicas
        self._transport, self._registers = transport, registers
        self._sample, self._on_applied = sample, on_applied
        self._watchers: dict[str, Sequence[str]] = {}
        self._wanted: dict[
            str, tuple[Version, float]
        ] = {}  # by key: what a peer has, and since when it is awaited
        self._digest_cursor = ""
        self._now_ms = 0.0
        self._digest_fraction = first_digest_fraction
        self._budget, self._budget_ms = RUMOUR_BURST, 0.0

    def version(self, key: str) -> Version:
        """The version that is held; (0, 0) for none."""
        record = self.records.get(key)
        return record.version if record is not None else NO_VERSION

    def apply(self, key: str, record: Record) -> bool:
        """Hold a record; False where its version is not above the one held."""
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

    # ------------------------------------------------ of this process

    def set_watchers(self, key: str, names: Sequence[str]) -> None:
        """The candidates of a duty, which `announce_renewal` reaches."""
        self._watchers[key] = names

    def announce(self, key: str, record: Record) -> None:
        """Spread an update of this process. The preferred owner of a released duty gets it first."""
        if self.apply(key, record):
            if record.preferred_owner and record.preferred_owner != self.me:
                self.notify_preferred_owner(key, record)
            self._spread([(key, record)], record.preferred_owner)

    def notify_preferred_owner(self, key: str, record: Record) -> None:
        """Send a released duty to its preferred owner, again in case the update was lost."""
        self._transport.post(record.preferred_owner, encode(StateUpdates(((key, record),))))

    def announce_renewal(self, key: str, record: Record) -> None:
        """Tell the candidates that the lease was renewed, so that they need not read. Nobody passes that on."""
        for name in self._watchers.get(key, ()):
            self._transport.post(name, encode(StateUpdates(((key, record),))))

    # ------------------------------------------------ from others

    def on_updates(self, source: str, message: StateUpdates, now_ms: float) -> list[tuple[str, Record]]:
        """Apply updates, and pass new ones on. Returns those that were applied."""
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
        """Whether it is nothing but a renewed lease."""
        known = self.records.get(key)
        return (
            known is not None
            and record.update_count == known.update_count
            and (record.term, record.owner, record.preferred_owner)
            == (known.term, known.owner, known.preferred_owner)
        )

    def _owner_reaches_all(self, updates: Sequence[tuple[str, Record]], source: str) -> bool:
        """Whether the owner has so few others that it sends to all of them itself."""
        has_few_peers = len(set(self._transport.alive()) - {self.me, source}) < FANOUT
        return has_few_peers and all(record.owner == source for _, record in updates)

    def on_digest(self, source: str, message: Digest, now_ms: float) -> None:
        """Send what is newer here, and a digest of what is newer there, so that it is sent."""
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

    # ------------------------------------------------ time

    def tick(self, now_ms: float) -> None:
        """Send a digest to one peer, and read from the replicas what has not arrived."""
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
        """The next keys in turn, from where the last digest ended."""
        keys = sorted(self.records)
        after = [key for key in keys if key > self._digest_cursor]
        chosen = (after + keys[: len(keys) - len(after)])[:MAX_DIGEST_KEYS]
        self._digest_cursor = chosen[-1] if len(chosen) == MAX_DIGEST_KEYS else ""
        return Digest(tuple((key, *self.records[key].version) for key in chosen))

    def _on_read(self, key: str, result: Result) -> None:
        if result.record is not None and self.apply(key, result.record):
            self.fetched += 1

    def _spread(self, updates: list[tuple[str, Record]], excluded: str) -> None:
        """Pass updates on to some peers, within the budget; what goes beyond it goes by digests."""
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
    """As many as one message carries; the rest goes with a later digest."""
    chosen: list[tuple[str, Record]] = []
    size_bytes = 0
    for key, record in updates:
        name_chars = len(key) + len(record.owner) + len(record.preferred_owner)
        size_bytes += 4 * name_chars + len(record.value) + MAX_ENTRY_OVERHEAD_BYTES
        if chosen and size_bytes > MAX_UPDATES_BYTES:
            break
        chosen.append((key, record))
    return encode(StateUpdates(tuple(chosen)))
