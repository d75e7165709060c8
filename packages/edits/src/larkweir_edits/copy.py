"""Rules: one copy among others: staff's reloads become edits, edits are kept and then told, and what is lacking is
asked for.

Nothing is shown to another copy, nor counted as applied, before the log said that it is kept (`kept`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import msgspec

from larkweir_edits import digests
from larkweir_edits.differences import Change, differences
from larkweir_edits.digests import Ask, Digest, Edits, Have, Item, Offer, Piece, Sum, Want
from larkweir_edits.edit import ENDED, HERE, STEP, Dot, EditError, Kind, RowKey, Sub, covers, shaped
from larkweir_edits.others import Others
from larkweir_edits.records import ENCODER, RECORDS, WHOLE, Kept, Said, origin_of
from larkweir_edits.schema import Schema, Tables
from larkweir_edits.snapshot import dumped, loaded
from larkweir_edits.starts import Began, Start
from larkweir_edits.state import State
from larkweir_edits.whole import Check, Whole
from larkweir_edits.wholes import Mail, Wholes

REST_MS = 1_000.0  # from greeting to greeting, while all are the same
BUSY_MS = 100.0  # after something differed
CALM = 1.5  # by so much longer from one to the next, while nothing does
COLLECT_MS = 10_000.0
ASKED_MS = 150.0  # that an answer is waited for
ASK = 96  # edits asked for at a time, and pieces of a state
MOST_ASKED = 512
MOST_PENDING = 2_000  # records that are given to the log and not kept yet
AWAY_MS = 7 * 86_400_000.0


class Log(Protocol):
    """Records that survive a crash, in order. The number of each is told back (`Copy.kept`) once it would."""

    def keep(self, record: bytes) -> int: ...


class Copy:
    """`name` is its peer's name, `peers` are all others. `base` is what staff's file says now; where there are
    `records` of former lives it does not count, and `start` tells what has changed since. `rng` is this life's own,
    not seeded as another life's was: a writer's name is made of it, so that no dot is used twice though a disk be of
    yesterday. `item` is the size that items are filled to: what one datagram takes, so that one that is lost takes
    little with it.
    """

    def __init__(
        self,
        schema: Schema,
        name: str,
        peers: Sequence[str],
        base: Tables,
        mail: Mail,
        log: Log,
        rng: Random,
        now_ms: float,
        check: Check | None = None,
        records: Iterable[bytes] = (),
        away_ms: float = AWAY_MS,
        item: int = 190,
    ) -> None:
        self.schema, self.name, self.peers, self.check = schema, name, tuple(peers), check
        self._mail, self._log, self._rng = mail, log, rng
        self._room = item
        self.state = State(schema, origin_of(schema, base), base)
        self.said: dict[str, dict[str, Mapping[str, Any]]] = {
            table: dict(base.get(table, {})) for table in schema.rules
        }
        self.writer = self._life()
        self.counts = dict.fromkeys(("bad", "asked", "refused", "other_origin", "adopted", "collected"), 0)
        self._pending: deque[tuple[int, Kept]] = deque()
        self._coming: set[Dot] = set()  # being written to the log
        self._asked: dict[Dot, float] = {}
        self._others = Others(self.peers, away_ms, now_ms)
        self._rest_ms = BUSY_MS
        self._greet_ms = now_ms + rng.uniform(0.0, BUSY_MS)
        self._collect_ms = now_ms + rng.uniform(0.5, 1.0) * COLLECT_MS
        self._turn = 0
        self._wholes = Wholes(schema, mail, item)
        self._start = Start(schema)
        self.began: Began | None = None  # what came of a start's file, for who takes it from here
        empty = True
        for record in records:
            self._replay(record)
            empty = False
        # Whether it is known that the others began with the same, or that none has an edit yet: an edit that is made
        # before may be of what they don't have.
        self.met = bool(self.state.vector) or not self.peers
        self._vector = dict(self.state.vector)
        self._digest = Digest(self._vector)
        if empty:  # what all began with is in the log too: the file may be another when it is read again
            self._pending.append((log.keep(self.record()), Kept(WHOLE, [])))
        self._strike(now_ms)

    def _life(self) -> str:
        return f"{self.name}#{self._rng.getrandbits(32):08x}"

    # ------------------------------------------------ staff and owners

    def start(self, tables: Tables) -> bool:
        """Staff's file says this at a start. Whether what it says otherwise than the log has it said waits
        (`starts.Start`); `began` is what comes of it.
        """
        self._start.file = tables if any(self._start.anew(self.said, tables)) else None
        self._judge()
        return self._start.file is not None

    def _judge(self) -> None:
        tables = self._start.known(len(self._others.agreed), len(self.peers))
        if tables is not None:
            try:
                self.began = Began(self.reload(tables))
            except EditError as problem:
                self.began = Began(0, problem=str(problem))

    def _give_up(self) -> None:
        """The log is of yesterday. Kept ahead of what is learnt of former lives, so that a crash between the two leaves
        no log that looks whole.
        """
        said = self._start.give_up(self.said)
        if said:
            self.began = Began(0, old=True)
            self._keep(Kept(self.writer, [], said))
            self._say(said)

    def _former(self, writer: str) -> bool:
        return writer.startswith(f"{self.name}#") and writer != self.writer

    def reload(self, tables: Tables) -> int:
        """Staff's file says this now. How many edits that made; EditError, and the file before counts on, where there
        is no room for them. What waits since a start waits on, but for the rows that this changes.
        """
        file, tables = tables, self._start.touched(self.said, tables)
        if len(self._pending) >= MOST_PENDING:
            raise EditError("the log does not take edits: see what is said of the disk")
        changes = list(differences(self.schema, self.said, tables, self.state.now))
        said = [*self._start.anew(self.said, tables)]
        edits = self.state.make(self.writer, changes)
        if said:
            self._keep(Kept(self.writer, edits, said))
            self._say(said)
        self._start.reloaded(file)
        return len(edits)

    def settle(self, table: str, name: str, fields: Mapping[str, Any]) -> int:
        """Staff's word on some fields, whatever the file says, after they looked at what is told."""
        now = self.state.now((table, name))
        have, wanted = dict(now.parts), self.schema.parts(table, fields)
        units = {self.schema.unit(table, key) for key in fields}
        changes = tuple((sub, value) for sub, value in wanted.items() if sub[0] in units)
        changes += tuple((sub, False) for sub in have if sub[0] in units and sub not in wanted)
        edits = self.state.make(self.writer, [Change(Kind.WRITE, (table, name), changes)])
        self._keep(Kept(self.writer, edits))
        return len(edits)

    def remove(self, table: str, name: str) -> int:
        """The same, of a row that is to go."""
        edits = self.state.make(self.writer, [Change(Kind.DELETE, (table, name))])
        self._keep(Kept(self.writer, edits))
        return len(edits)

    def verdict(self, route: RowKey, pool: str, term: int, number: int, ended: bool = True) -> bool:
        """An owner's, on a part of a split; False where it is late."""
        return self._own(route, (ENDED, pool), term, number, ended)

    def step(self, row: RowKey, name: str, term: int, number: int, value: Any) -> bool:
        """An owner's step of a ramp or an evacuation; False where it is late."""
        return self._own(row, (STEP, name), term, number, value)

    def _own(self, row: RowKey, sub: Sub, term: int, number: int, value: Any) -> bool:
        if (term, number) <= self.state.floor(row, sub) or not self.state.now(row).here:
            return False
        edits = self.state.make(self.writer, [Change(Kind.OWNER, row, ((sub, [term, number, value]),))])
        self._keep(Kept(self.writer, edits))
        return True

    @property
    def whole(self) -> Whole:
        """What counts now."""
        return self.state.whole(self.check)

    @property
    def moved(self) -> Whole | None:
        """The whole as it was computed last; None where something has been applied since."""
        return self.state.computed

    # ------------------------------------------------ the log

    def _keep(self, record: Kept) -> None:
        # What is kept is numbered first: a log may tell it at once.
        data = ENCODER.encode(record)
        self._pending.append((self._log.keep(data), record))

    def kept(self, number: int, now_ms: float) -> None:
        """All records up to this one would survive a crash."""
        moved = False
        while self._pending and self._pending[0][0] <= number:
            _, record = self._pending.popleft()
            self._enact(record)
            moved = True
        if moved:
            self._strike(now_ms)
            self._hurry(now_ms)

    def _enact(self, record: Kept) -> None:
        if record.state:
            new = loaded(self.schema, record.state)
            if covers(new.vector, self.state.folded):  # else it is older than what is had
                self._adopt(new)
        for data in record.edits:
            try:
                applied = self.state.take(record.writer, data)
            except EditError:
                self.counts["bad"] += 1
                continue
            self._coming.discard((record.writer, shaped(data).count))
            for edit in applied:
                self._vector = {}
                self._digest.put(*edit.dot)

    def _replay(self, data: bytes) -> None:
        try:
            record = RECORDS.decode(data)
            if record.state:
                new = loaded(self.schema, record.state)
                if record.writer == WHOLE or covers(new.vector, self.state.folded):
                    self.state = new
                if record.writer == WHOLE:
                    self.said = {table: {} for table in self.schema.rules}
            self._say(record.said)
            for edit in record.edits:
                self.state.take(record.writer, edit)
        except (msgspec.ValidationError, msgspec.DecodeError, EditError, RecursionError):
            self.counts["bad"] += 1

    def _say(self, said: Iterable[Said]) -> None:
        for table, name, fields in said:
            if fields is None:
                self.said.get(table, {}).pop(name, None)
            else:
                self.said.setdefault(table, {})[name] = {
                    key: tuple(value) if isinstance(value, list) else value for key, value in fields.items()
                }

    def record(self) -> bytes:
        """All that is kept, in one record, with which a log may begin anew. What is pending comes after it."""
        said = [(table, name, dict(row)) for table, rows in self.said.items() for name, row in rows.items()]
        return ENCODER.encode(Kept(WHOLE, [], list(said), dumped(self.state)))

    def pending(self) -> list[bytes]:
        """What was given to the log and is not kept yet."""
        return [ENCODER.encode(record) for _, record in self._pending]

    def _strike(self, now_ms: float) -> None:
        """Tell which writers had not seen what is in the base."""
        struck, self.state.struck = self.state.struck, []
        for writer, number in struck:
            if writer == self.writer:
                self.writer = self._life()
            change = Change(Kind.STRIKE, ("", writer), ((HERE, number),))
            self._keep(Kept(self.writer, self.state.make(self.writer, [change])))
        if self.writer in self.state.strikes:
            self.writer = self._life()

    # ------------------------------------------------ the others

    @property
    def next_ms(self) -> float:
        return min(self._greet_ms, self._collect_ms)

    def tick(self, now_ms: float) -> None:
        if now_ms >= self._greet_ms:
            self._greet_ms = now_ms + self._rest_ms * self._rng.uniform(0.8, 1.2)
            self._rest_ms = min(REST_MS, self._rest_ms * CALM)
            self._asked = {dot: until for dot, until in self._asked.items() if until > now_ms}
            if self._wholes.want(now_ms):
                self._hurry(now_ms)
            to = self._someone()
            if to:
                self._greet(to)
        if now_ms >= self._collect_ms:
            self._collect_ms = now_ms + COLLECT_MS * self._rng.uniform(0.8, 1.2)
            if not self._unwritten and self.state.collect(
                self._others.stable(self.state.vector, now_ms), self.check
            ):
                self.counts["collected"] += 1

    @property
    def _unwritten(self) -> bool:
        """Whether an edit of one's own is being written. It may not have seen what was applied since, so nothing may be
        told that others take it to have seen, nor put into the base.
        """
        return any(record.writer.startswith(f"{self.name}#") for _, record in self._pending)

    def _someone(self) -> str:
        """One who is thought to be there; each fourth time anyone, since who is thought gone may be back."""
        self._turn += 1
        peers = set(self.peers)
        alive = [name for name in self._mail.alive() if name in peers] if self._turn % 4 else []
        among = alive or self.peers
        return self._rng.choice(among) if among else ""

    def _greet(self, to: str) -> None:
        state = self.state
        if self._unwritten:
            return
        self._post(to, Sum(state.origin, not state.vector, self._digest.total, self._digest.ranges))

    def _post(self, to: str, item: Item) -> bool:
        return self._mail.post(to, digests.packed(item))

    def _hurry(self, now_ms: float) -> None:
        self._rest_ms = BUSY_MS
        self._greet_ms = min(self._greet_ms, now_ms + BUSY_MS * self._rng.random())

    def came(self, source: str, item: bytes, now_ms: float) -> None:
        """An item of another copy, whatever it be."""
        told = digests.unpacked(item)
        if told is None or not self._others.hear(source, now_ms):
            self.counts["bad"] += 1
            return
        if isinstance(told, Sum):
            self._on_sum(source, told, now_ms)
        elif isinstance(told, Want):
            self._wholes.on_want(source, told)
        elif isinstance(told, Piece):
            data = self._wholes.on_piece(source, told, now_ms)
            if data:
                if not self.state.vector:  # all that is known here is from others
                    self._give_up()
                self._keep(Kept("", [], [], data))
        elif isinstance(told, Offer):
            self._wholes.on_offer(source, told, self.state, now_ms)
        elif told.origin != self.state.origin:
            self.counts["other_origin"] += 1
        elif isinstance(told, Have):
            self._on_have(source, told, now_ms)
        elif isinstance(told, Ask):
            self._on_ask(source, told, now_ms)
        else:
            self._on_edits(source, told, now_ms)

    def _on_sum(self, source: str, told: Sum, now_ms: float) -> None:
        mine = self.state
        if told.origin != mine.origin:
            self.counts["other_origin"] += 1
            self.met = self.met or told.fresh
            if mine.vector and told.fresh:
                self._wholes.offer(source, mine, "", 0, now_ms)
            elif not mine.vector and not told.fresh:
                self._greet(source)  # it will offer what it has
            return
        self.met = True
        if told.total == self._digest.total:
            if not self._vector:
                self._vector = dict(mine.vector)
            self._others.agreed[source] = self._vector
            self._judge()
            return
        self._hurry(now_ms)
        ranges = self._digest.differ(told.ranges)
        self._tell(source, ranges, "", "", echo=True)

    def _tell(self, to: str, ranges: list[int], low: str, high: str, echo: bool) -> None:
        """All that is had of some writers, in as many items as it takes."""
        parts = []
        for writer in self._digest.writers(ranges, low, high):
            more = digests.spans(self.state.held.get(writer, ()))
            parts.append(
                (len(writer) + 6 + 3 * len(more), (writer, [self.state.vector.get(writer, 0), *more]))
            )
        groups = list(digests.filled(parts, max(self._room - 40, 100))) or [[]]
        for n, group in enumerate(groups):
            last = high if n == len(groups) - 1 else group[-1][0]
            if not self._post(to, Have(self.state.origin, echo, ranges, low, last, dict(group))):
                return
            low = last

    def _on_have(self, source: str, told: Have, now_ms: float) -> None:
        mine = self.state.vector
        self._ask(source, told, now_ms)
        if told.echo and any(
            mine[writer] > (told.writers[writer][0] if writer in told.writers else 0)
            for writer in self._digest.writers(told.ranges, told.low, told.high)
        ):
            self._tell(source, told.ranges, told.low, told.high, echo=False)

    def _ask(self, source: str, told: Have, now_ms: float) -> None:
        """For what it has and is lacking here, unless somebody was asked just now."""
        self._hurry(now_ms)
        left = max(0, min(ASK, MOST_ASKED - len(self._asked)))
        wanted: dict[str, list[int]] = {}
        for writer, (upto, *more) in told.writers.items():
            known = self.state.vector.get(writer, 0)
            if upto > known and self._former(writer):
                self._give_up()
            found = []
            for count in [*range(known + 1, min(upto, known + 4 * ASK) + 1), *digests.counts(more, 4 * ASK)]:
                dot = (writer, count)
                if (
                    left
                    and not self.state.has(dot)
                    and dot not in self._coming
                    and self._asked.get(dot, 0.0) <= now_ms
                ):
                    found.append(count)
                    self._asked[dot] = now_ms + ASKED_MS
                    left -= 1
            if found:
                wanted[writer] = digests.spans(found)
        for group in digests.filled(
            ((len(w) + 4 + 3 * len(s), (w, s)) for w, s in wanted.items()), self._room - 20
        ):
            self.counts["asked"] += 1
            self._post(source, Ask(self.state.origin, dict(group)))

    def _on_ask(self, source: str, told: Ask, now_ms: float) -> None:
        left = ASK
        for writer, flat in told.spans.items():
            if flat and flat[0] <= self.state.folded.get(writer, 0):
                self._wholes.offer(source, self.state, writer, flat[0], now_ms)
                return
            found = []
            for count in digests.counts(flat, left):
                data = self.state.log.get(writer, {}).get(count) or self.state.raw.get((writer, count))
                if data is not None:
                    found.append((len(data) + 2, data))
            left -= len(found)
            for group in digests.filled(found, self._room - 16 - len(writer)):
                if not self._post(source, Edits(self.state.origin, writer, group)):
                    return
            if left <= 0:
                return

    def _on_edits(self, source: str, told: Edits, now_ms: float) -> None:
        fresh = []
        for data in told.edits:
            try:
                dot = (told.writer, shaped(data).count)
            except EditError:
                self.counts["bad"] += 1
                continue
            self._asked.pop(dot, None)
            if not self.state.has(dot) and dot not in self._coming:
                self._coming.add(dot)
                fresh.append(data)
        if fresh and len(self._pending) >= MOST_PENDING:
            self.counts["refused"] += len(fresh)
            self._coming.difference_update((told.writer, shaped(data).count) for data in fresh)
        elif fresh:
            if self._former(told.writer):  # told to a life before this one, which asked
                self._give_up()
            self._keep(Kept(told.writer, fresh))
        if not self._asked:
            self._greet(source)  # there may be more
        self._hurry(now_ms)

    # ------------------------------------------------ who was away

    def away(self, now_ms: float) -> list[str]:
        """Who is not waited for any longer."""
        return self._others.away(now_ms)

    def _adopt(self, new: State) -> None:
        """Go on from another's state. What was known here and is not there is kept and taken anew: by the rules of
        every copy it is proposals, where it had not seen what is in the base.
        """
        old, self.state = self.state, new
        self.counts["adopted"] += 1
        self.met = True
        self.writer = self._life()
        self._vector = {}
        self._others.agreed.clear()
        self._asked.clear()
        self._digest = Digest(new.vector)
        if old.origin != new.origin:
            return
        lost: dict[str, list[bytes]] = {}
        for writer, found in old.log.items():
            lost.setdefault(writer, []).extend(
                data for n, data in sorted(found.items()) if not new.has((writer, n))
            )
        for (writer, count), data in old.raw.items():
            if not new.has((writer, count)):
                lost.setdefault(writer, []).append(data)
        for writer, edits in lost.items():
            if edits:
                self._keep(Kept(writer, edits))

    def unseen(self) -> Collection[Dot]:
        """Edits that are held since their causes are missing."""
        return self.state.raw.keys()
