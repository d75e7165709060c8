"""What followers take of the effects that a majority has taken, and how they hear of them.

An effect is the whole state of its duty under a version (term, number). A follower takes it if its version is above the
one held, and never goes back; all others count as late. News is passed on once, to two others (rumours), while the
budget lasts; each second one peer is told what versions are held, and both send what the other lacks. What then does
not come is read from the keepers. So a process sends the same however large the fleet is, and however much happens.
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

FANOUT = 2  # peers that news is passed on to
RUMOURS_PER_S = 3.0  # items of news passed on, beyond a burst of
RUMOUR_BURST = 8.0
MAX_ENTRY_OVERHEAD_BYTES = 96  # what an effect takes besides its key, names and value, at most
DIGEST_INTERVAL_MS = 1000.0
MAX_DIGEST_KEYS = 64  # in one digest; further ones take turns
FETCH_AFTER_MS = 1500.0  # what a peer said it has, and did not come, is read from the keepers after this
MAX_KEYS = 4096

Sampler: TypeAlias = Callable[[Sequence[str], int], Sequence[str]]  # so many of these, at random


class StateReplicator:
    """What this process holds of each duty. `took` is told each record that is taken, in the order of its versions."""

    def __init__(
        self,
        me: str,
        transport: Transport,
        registers: Registers,
        sample: Sampler,
        on_applied: Callable[[str, Record], None],
        held: Iterable[tuple[str, Record]] = (),
        first_digest_fraction: float = 1.0,
    ) -> None:
        """`phase`: from 0 to 1, of the time between two digests until the second, so that processes that start together
        do not all tell at the same moments. `held`: what a former life of this process held, from a store; without it
        the first versions that come are taken, whichever they are."""
        self.me = me
        self.records: dict[str, Record] = dict(held)
        self.next_ms = 0.0
        self.applied = 0
        self.stale = 0
        self.skipped = 0  # effects that were overtaken by a later one
        self.fetched = 0
        self._transport, self._registers, self._sample, self._on_applied = (
            transport,
            registers,
            sample,
            on_applied,
        )
        self._wanted: dict[str, tuple[Version, float]] = {}
        self._digest_cursor = ""
        self._now_ms = 0.0
        self._digest_fraction = first_digest_fraction
        self._budget, self._budget_ms = RUMOUR_BURST, 0.0

    def version(self, key: str) -> Version:
        record = self.records.get(key)
        return record.version if record is not None else NO_VERSION

    def apply(self, key: str, record: Record) -> bool:
        held = self.records.get(key)
        if held is not None and not record.version > held.version:
            if record.version != held.version:
                self.stale += 1
            return False
        if held is None and len(self.records) >= MAX_KEYS:
            return False
        if held is not None and record.update_count > held.update_count + 1:
            self.skipped += record.update_count - held.update_count - 1
        self.records[key] = record
        self.applied += 1
        if key in self._wanted and self._wanted[key][0] <= record.version:
            del self._wanted[key]
        self._on_applied(key, record)
        return True

    def announce(self, key: str, record: Record) -> None:
        """News from this process. Whoever is to take the duty next hears it at once."""
        if self.apply(key, record):
            if record.preferred_owner and record.preferred_owner != self.me:
                self.notify_preferred_owner(key, record)
            self._spread([(key, record)], record.preferred_owner)

    def notify_preferred_owner(self, key: str, record: Record) -> None:
        """To the heir, once more in case the news was lost."""
        self._transport.post(record.preferred_owner, encode(StateUpdates(((key, record),))))

    def on_updates(self, source: str, message: StateUpdates, now_ms: float) -> list[tuple[str, Record]]:
        """Those that are taken."""
        self._now_ms = max(now_ms, self._now_ms)
        taken = [
            (key, record)
            for key, record in message.updates
            if len(key) <= MAX_NAME_CHARS
            and len(record.value) <= MAX_STATE_BYTES
            and not self._is_renewal(key, record)
            and self.apply(key, record)
        ]
        if taken and not self._owner_reaches_all(taken, source):
            self._spread(taken, source)
        return taken

    def _is_renewal(self, key: str, record: Record) -> bool:
        """Nothing but a lease that was renewed: not an effect."""
        held = self.records.get(key)
        return (
            held is not None
            and record.update_count == held.update_count
            and (record.term, record.owner, record.preferred_owner)
            == (held.term, held.owner, held.preferred_owner)
        )

    def _owner_reaches_all(self, updates: Sequence[tuple[str, Record]], source: str) -> bool:
        """Where an owner has so few others that it tells all of them itself."""
        has_few_peers = len(set(self._transport.alive()) - {self.me, source}) < FANOUT
        return has_few_peers and all(record.owner == source for _, record in updates)

    def on_digest(self, source: str, message: Digest, now_ms: float) -> None:
        """Send what is newer here; tell what is newer there, so that it is sent; wait for it."""
        updates: list[tuple[str, Record]] = []
        mine = []
        for key, term, number in message.versions[:MAX_DIGEST_KEYS]:
            version = self.version(key)
            if version > (term, number):
                updates.append((key, self.records[key]))
            elif version < (term, number) and len(key) <= MAX_NAME_CHARS:
                mine.append((key, *version))
                if key not in self._wanted and len(self._wanted) < MAX_DIGEST_KEYS:
                    self._wanted[key] = ((term, number), now_ms)
        if updates:
            self._transport.post(source, self._encode_updates(updates))
        if mine:
            self._transport.post(source, encode(Digest(tuple(mine))))

    def tick(self, now_ms: float) -> None:
        """Once a second; without a peer, and with nothing wanted, it does nothing."""
        self._now_ms = max(now_ms, self._now_ms)
        self.next_ms = now_ms + DIGEST_INTERVAL_MS * self._digest_fraction
        self._digest_fraction = 1.0
        keys = sorted(self.records)
        behind = [key for key in keys if key > self._digest_cursor]
        turn = (behind + keys[: len(keys) - len(behind)])[:MAX_DIGEST_KEYS]
        self._digest_cursor = turn[-1] if len(turn) == MAX_DIGEST_KEYS else ""
        digest = Digest(tuple((key, *self.records[key].version) for key in turn))
        for peer in self._sample([name for name in self._transport.alive() if name != self.me], 1):
            self._transport.post(peer, encode(digest))
        for key, (version, since) in list(self._wanted.items()):
            if self.version(key) >= version:
                del self._wanted[key]
            elif now_ms - since >= FETCH_AFTER_MS:
                self._wanted[key] = (version, now_ms)
                self._registers.read(key, lambda result, key=key: self._on_read(key, result))  # type: ignore[misc]

    def _on_read(self, key: str, result: Result) -> None:
        if result.record is not None and self.apply(key, result.record):
            self.fetched += 1

    def _spread(self, updates: list[tuple[str, Record]], excluded: str) -> None:
        passed, self._budget_ms = self._now_ms - self._budget_ms, self._now_ms
        self._budget = min(RUMOUR_BURST, self._budget + passed * RUMOURS_PER_S / 1000.0)
        if self._budget < 1.0:
            return  # it goes by digests
        others = [name for name in self._transport.alive() if name not in (self.me, excluded)]
        message = self._encode_updates(updates)
        for peer in self._sample(others, min(FANOUT, int(self._budget))):
            self._budget -= 1.0
            self._transport.post(peer, message)

    def _encode_updates(self, updates: list[tuple[str, Record]]) -> bytes:
        """As many as one item carries; the rest goes with a later digest."""
        some: list[tuple[str, Record]] = []
        size = 0
        for key, record in updates:
            size += (
                4 * (len(key) + len(record.owner) + len(record.preferred_owner))
                + len(record.value)
                + MAX_ENTRY_OVERHEAD_BYTES
            )
            if some and size > MAX_UPDATES_BYTES:
                break
            some.append((key, record))
        return encode(StateUpdates(tuple(some)))
