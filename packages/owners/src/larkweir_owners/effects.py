"""Rules: what followers take of the effects that a majority has taken, and how they hear of them.

An effect is the whole state of its duty under a version (term, number). A follower takes it if its version is above the
one held, and never goes back; all others count as late. News is passed on once, to a few (rumours); each second one
peer is told what versions are held, and sends what is newer. What then does not come is read from the keepers. So a
process sends the same however large the fleet is.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from larkweir_owners.messages import (
    MOST_NAME,
    MOST_VALUE,
    NO_VERSION,
    Digest,
    Effect,
    Record,
    Version,
    pack,
)
from larkweir_owners.ports import Mail, Registers, Result

FAN = 3  # peers that news is passed on to
DIGEST_MS = 1000.0
DIGEST_KEYS = 64  # in one digest; further ones take turns
ANSWERS = 8  # effects sent for one digest
WANTED_MS = 1500.0  # what a peer said it has, and did not come, is read from the keepers after this
MOST_KEYS = 4096

Pick: TypeAlias = Callable[[Sequence[str], int], Sequence[str]]  # so many of these, at random


class Followers:
    """What this process holds of each duty. `took` is told each record that is taken, in the order of its versions."""

    def __init__(
        self,
        me: str,
        mail: Mail,
        registers: Registers,
        pick: Pick,
        took: Callable[[str, Record], None],
        held: Iterable[tuple[str, Record]] = (),
    ) -> None:
        """`held`: what a former life of this process held, from a store; without it the first versions that come are
        taken, whichever they are."""
        self.me = me
        self.held: dict[str, Record] = dict(held)
        self.next_ms = 0.0
        self.taken = 0
        self.late = 0
        self.skipped = 0  # effects that were overtaken by a later one
        self.fetched = 0
        self._mail, self._registers, self._pick, self._took = mail, registers, pick, took
        self._wanted: dict[str, tuple[Version, float]] = {}
        self._turn = ""

    def version(self, key: str) -> Version:
        record = self.held.get(key)
        return record.version if record is not None else NO_VERSION

    def take(self, key: str, record: Record) -> bool:
        held = self.held.get(key)
        if held is not None and not record.version > held.version:
            if record.version != held.version:
                self.late += 1
            return False
        if held is None and len(self.held) >= MOST_KEYS:
            return False
        if held is not None and record.effects > held.effects + 1:
            self.skipped += record.effects - held.effects - 1
        self.held[key] = record
        self.taken += 1
        if key in self._wanted and self._wanted[key][0] <= record.version:
            del self._wanted[key]
        self._took(key, record)
        return True

    def announce(self, key: str, record: Record) -> None:
        """News from this process. Whoever is to take the duty next hears it at once."""
        if self.take(key, record):
            item = pack(Effect(key, record))
            if record.heir and record.heir != self.me:
                self._mail.post(record.heir, item)
            self._spread(item, record.heir)

    def remind(self, key: str, record: Record) -> None:
        """Once more to the heir, in case the news was lost."""
        self._mail.post(record.heir, pack(Effect(key, record)))

    def came_effect(self, source: str, item: Effect) -> bool:
        if len(item.key) > MOST_NAME or len(item.record.value) > MOST_VALUE:
            return False
        if not self.take(item.key, item.record):
            return False
        self._spread(pack(item), source)
        return True

    def came_digest(self, source: str, item: Digest, now_ms: float) -> None:
        """Send what is newer here; tell what is newer there, so that it is sent; wait for it."""
        sent, mine = 0, []
        for key, term, number in item.versions[:DIGEST_KEYS]:
            version = self.version(key)
            if version > (term, number):
                if sent < ANSWERS:
                    sent += 1
                    self._mail.post(source, pack(Effect(key, self.held[key])))
            elif version < (term, number) and len(key) <= MOST_NAME:
                mine.append((key, *version))
                if key not in self._wanted and len(self._wanted) < DIGEST_KEYS:
                    self._wanted[key] = ((term, number), now_ms)
        if mine:
            self._mail.post(source, pack(Digest(tuple(mine))))

    def tick(self, now_ms: float) -> None:
        """Once a second; without a peer, and with nothing wanted, it does nothing."""
        self.next_ms = now_ms + DIGEST_MS
        keys = sorted(self.held)
        behind = [key for key in keys if key > self._turn]
        turn = (behind + keys[: len(keys) - len(behind)])[:DIGEST_KEYS]
        self._turn = turn[-1] if len(turn) == DIGEST_KEYS else ""
        digest = Digest(tuple((key, *self.held[key].version) for key in turn))
        for peer in self._pick([name for name in self._mail.alive() if name != self.me], 1):
            self._mail.post(peer, pack(digest))
        for key, (version, since) in list(self._wanted.items()):
            if self.version(key) >= version:
                del self._wanted[key]
            elif now_ms - since >= WANTED_MS:
                self._wanted[key] = (version, now_ms)
                self._registers.read(key, lambda result, key=key: self._read(key, result))  # type: ignore[misc]

    def _read(self, key: str, result: Result) -> None:
        if result.record is not None and self.take(key, result.record):
            self.fetched += 1

    def _spread(self, item: bytes, but: str) -> None:
        others = [name for name in self._mail.alive() if name not in (self.me, but)]
        for peer in self._pick(others, FAN):
            self._mail.post(peer, item)
