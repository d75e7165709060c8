"""One replica of the routes and pools. Reloads of the operator file become edits, edits are written to the log,
and written edits are exchanged with the other copies (`anti_entropy`).

No edit is sent to another copy, nor applied, before the log has said that it is durable (`Replica.on_durable`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import msgspec

from larkweir_edits import digests
from larkweir_edits.anti_entropy import AntiEntropy
from larkweir_edits.differences import Change, differences
from larkweir_edits.digests import EditRequest, Have, Offer, Piece, PieceRequest, Sum
from larkweir_edits.edit import ENDED, HERE, STEP, Dot, EditError, Kind, RowKey, Sub, covers, shaped
from larkweir_edits.merged_tables import Check, MergedTables
from larkweir_edits.others import Others
from larkweir_edits.records import ENCODER, RECORDS, SNAPSHOT_WRITER, LogRecord, StatedRow, origin_of
from larkweir_edits.schema import Schema, Tables
from larkweir_edits.snapshot import dumped, loaded
from larkweir_edits.starts import Began, Start
from larkweir_edits.state import State
from larkweir_edits.state_transfer import Channel, StateTransfer

MAX_GREETING_INTERVAL_MS = 1_000.0  # between two greetings, while all copies are the same
MIN_GREETING_INTERVAL_MS = 100.0  # after a difference
GREETING_BACKOFF_FACTOR = 1.5  # factor from one pause to the next, while there is none
COLLECTION_INTERVAL_MS = 10_000.0
MAX_PENDING_RECORDS = 2_000  # records that the log has been given and has not reported as durable
MAX_SILENCE_MS = 7 * 86_400_000.0


class Log(Protocol):
    """A durable log. `Replica.on_durable` is told the number of each record that would survive a crash."""

    def append(self, record: bytes) -> int:
        """Append a record; returns its number."""


class Replica:
    """A replica of the routes and pools, driven by its owner: no I/O of its own.

    `base`, what the operator file says now, has no effect where there are records. `rng` is not seeded as that of an
    earlier incarnation: the writer's name is drawn from it, so that no dot is used twice though an old disk be
    restored. A peer that is silent for `away_ms` is not waited for. Items are filled to `item` bytes.

    Attributes:
        state: the edits that are applied, and what they come to.
        stated: what the operator file said last, by table and row.
        writer: the name under which this incarnation writes edits.
        began: what came of the file of a start, for whoever takes it from here.
        met: whether it is known that the others began with the same, or that none has an edit yet. An edit that is
            made before may concern what they do not have.
    """

    def __init__(
        self,
        schema: Schema,
        name: str,
        peers: Sequence[str],
        base: Tables,
        channel: Channel,
        log: Log,
        rng: Random,
        now_ms: float,
        check: Check | None = None,
        records: Iterable[bytes] = (),
        away_ms: float = MAX_SILENCE_MS,
        item: int = 190,
    ) -> None:
        """Restores what the log holds, and begins a log that holds nothing; `records` are oldest first."""
        self.schema, self.name, self.peers, self.check = schema, name, tuple(peers), check
        self._channel, self._log, self._rng = channel, log, rng
        self.state = State(schema, origin_of(schema, base), base)
        self.stated: dict[str, dict[str, Mapping[str, Any]]] = {
            table: dict(base.get(table, {})) for table in schema.rules
        }
        self.writer = self._new_writer()
        self.counts = dict.fromkeys(("bad", "asked", "refused", "other_origin", "adopted", "collected"), 0)
        self._pending: deque[tuple[int, LogRecord]] = deque()
        self._others = Others(self.peers, away_ms, now_ms)
        self._rest_ms = MIN_GREETING_INTERVAL_MS
        self._greet_ms = now_ms + rng.uniform(0.0, MIN_GREETING_INTERVAL_MS)
        self._collect_ms = now_ms + rng.uniform(0.5, 1.0) * COLLECTION_INTERVAL_MS
        self._turn = 0
        self._transfer = StateTransfer(schema, channel, item)
        self._start = Start(schema)
        self.began: Began | None = None
        is_empty = not self._replay_all(records)
        self.met = bool(self.state.vector) or not self.peers
        self._anti_entropy = AntiEntropy(self, channel, item)
        if is_empty:  # what all began with is in the log too: the file may be another when it is read again
            self._pending.append((log.append(self.record()), LogRecord(SNAPSHOT_WRITER, [])))
        self._strike(now_ms)

    def _replay_all(self, records: Iterable[bytes]) -> int:
        """Restore what the log holds; returns how many records those are."""
        count = 0
        for record in records:
            self._replay(record)
            count += 1
        return count

    def _new_writer(self) -> str:
        return f"{self.name}#{self._rng.getrandbits(32):08x}"

    # ------------------------------------------------ staff and owners

    def start(self, tables: Tables) -> bool:
        """Staff's file says this at a start. Whether what it says otherwise than the log has it said waits
        (`starts.Start`); `began` is what comes of it.
        """
        self._start.file = tables if any(self._start.anew(self.stated, tables)) else None
        self._judge()
        return self._start.file is not None

    def _judge(self) -> None:
        tables = self._start.known(len(self._others.agreed), len(self.peers))
        if tables is not None:
            try:
                self.began = Began(self.reload(tables))
            except EditError as problem:
                self.began = Began(0, problem=str(problem))

    def give_up(self) -> None:
        """The log is of yesterday. Kept ahead of what is learnt of former lives, so that a crash between the two leaves
        no log that looks whole.
        """
        stated = self._start.give_up(self.stated)
        if stated:
            self.began = Began(0, old=True)
            self._append(LogRecord(self.writer, [], stated))
            self._apply_stated(stated)

    def is_former(self, writer: str) -> bool:
        """Whether the writer was an earlier incarnation of this copy."""
        return writer.startswith(f"{self.name}#") and writer != self.writer

    def reload(self, tables: Tables) -> int:
        """Staff's file says this now. How many edits that made; EditError, and the file before counts on, where there
        is no room for them. What waits since a start waits on, but for the rows that this changes.
        """
        file, tables = tables, self._start.touched(self.stated, tables)
        if self.is_log_full:
            raise EditError("the log does not take edits: see what is said of the disk")
        changes = list(differences(self.schema, self.stated, tables, self.state.now))
        stated = [*self._start.anew(self.stated, tables)]
        edits = self.state.make(self.writer, changes)
        if stated:
            self._append(LogRecord(self.writer, edits, stated))
            self._apply_stated(stated)
        self._start.reloaded(file)
        return len(edits)

    def resolve(self, table: str, name: str, fields: Mapping[str, Any]) -> int:
        """Staff's word on some fields, whatever the file says, after they looked at what is told."""
        now = self.state.now((table, name))
        have, wanted = dict(now.parts), self.schema.parts(table, fields)
        units = {self.schema.unit(table, key) for key in fields}
        changes = tuple((sub, value) for sub, value in wanted.items() if sub[0] in units)
        changes += tuple((sub, False) for sub in have if sub[0] in units and sub not in wanted)
        edits = self.state.make(self.writer, [Change(Kind.WRITE, (table, name), changes)])
        self._append(LogRecord(self.writer, edits))
        return len(edits)

    def remove(self, table: str, name: str) -> int:
        """The same, of a row that is to go."""
        edits = self.state.make(self.writer, [Change(Kind.DELETE, (table, name))])
        self._append(LogRecord(self.writer, edits))
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
        self._append(LogRecord(self.writer, edits))
        return True

    @property
    def merged(self) -> MergedTables:
        """What counts now."""
        return self.state.merged(self.check)

    @property
    def moved(self) -> MergedTables | None:
        """The whole as it was computed last; None where something has been applied since."""
        return self.state.computed

    # ------------------------------------------------ the log

    @property
    def is_log_full(self) -> bool:
        """Whether so much is being written to the log that it takes no more edits."""
        return len(self._pending) >= MAX_PENDING_RECORDS

    def append_edits(self, writer: str, edits: list[bytes]) -> None:
        """Give edits of another copy to the log, after which they are applied."""
        self._append(LogRecord(writer, edits))

    def _append(self, record: LogRecord) -> None:
        # What is kept is numbered first: a log may tell it at once.
        data = ENCODER.encode(record)
        self._pending.append((self._log.append(data), record))

    def on_durable(self, number: int, now_ms: float) -> None:
        """All records up to this number would survive a crash: apply them."""
        moved = False
        while self._pending and self._pending[0][0] <= number:
            _, record = self._pending.popleft()
            self._enact(record)
            moved = True
        if moved:
            self._strike(now_ms)
            self.hurry(now_ms)

    def _enact(self, record: LogRecord) -> None:
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
            self._anti_entropy.written((record.writer, shaped(data).count))
            self._anti_entropy.applied(edit.dot for edit in applied)

    def _replay(self, data: bytes) -> None:
        try:
            record = RECORDS.decode(data)
            if record.state:
                new = loaded(self.schema, record.state)
                if record.writer == SNAPSHOT_WRITER or covers(new.vector, self.state.folded):
                    self.state = new
                if record.writer == SNAPSHOT_WRITER:
                    self.stated = {table: {} for table in self.schema.rules}
            self._apply_stated(record.stated)
            for edit in record.edits:
                self.state.take(record.writer, edit)
        except (msgspec.ValidationError, msgspec.DecodeError, EditError, RecursionError):
            self.counts["bad"] += 1

    def _apply_stated(self, stated: Iterable[StatedRow]) -> None:
        for table, name, fields in stated:
            if fields is None:
                self.stated.get(table, {}).pop(name, None)
            else:
                self.stated.setdefault(table, {})[name] = {
                    key: tuple(value) if isinstance(value, list) else value for key, value in fields.items()
                }

    def record(self) -> bytes:
        """All that is kept, in one record, with which a log may begin anew. What is pending comes after it."""
        stated = [
            (table, name, dict(row)) for table, rows in self.stated.items() for name, row in rows.items()
        ]
        return ENCODER.encode(LogRecord(SNAPSHOT_WRITER, [], list(stated), dumped(self.state)))

    def pending(self) -> list[bytes]:
        """What was given to the log and is not kept yet."""
        return [ENCODER.encode(record) for _, record in self._pending]

    def _strike(self, now_ms: float) -> None:
        """Tell which writers had not seen what is in the base."""
        struck, self.state.struck = self.state.struck, []
        for writer, number in struck:
            if writer == self.writer:
                self.writer = self._new_writer()
            change = Change(Kind.STRIKE, ("", writer), ((HERE, number),))
            self._append(LogRecord(self.writer, self.state.make(self.writer, [change])))
        if self.writer in self.state.strikes:
            self.writer = self._new_writer()

    # ------------------------------------------------ the others

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        return min(self._greet_ms, self._collect_ms)

    def tick(self, now_ms: float) -> None:
        """Do what is due: greet another copy, put into the base what all have applied."""
        if now_ms >= self._greet_ms:
            self._greet_ms = now_ms + self._rest_ms * self._rng.uniform(0.8, 1.2)
            self._rest_ms = min(MAX_GREETING_INTERVAL_MS, self._rest_ms * GREETING_BACKOFF_FACTOR)
            self._anti_entropy.expire(now_ms)
            if self._transfer.request_pieces(now_ms):
                self.hurry(now_ms)
            to = self._someone()
            if to:
                self._anti_entropy.greet(to)
        if now_ms >= self._collect_ms:
            self._collect_ms = now_ms + COLLECTION_INTERVAL_MS * self._rng.uniform(0.8, 1.2)
            if not self.unwritten and self.state.collect(
                self._others.stable(self.state.vector, now_ms), self.check
            ):
                self.counts["collected"] += 1

    @property
    def unwritten(self) -> bool:
        """Whether an edit of one's own is being written. It may not have seen what was applied since, so nothing may be
        told that others take it to have seen, nor put into the base.
        """
        return any(record.writer.startswith(f"{self.name}#") for _, record in self._pending)

    def _someone(self) -> str:
        """One who is thought to be there; each fourth time anyone, since who is thought gone may be back."""
        self._turn += 1
        peers = set(self.peers)
        alive = [name for name in self._channel.alive() if name in peers] if self._turn % 4 else []
        among = alive or self.peers
        return self._rng.choice(among) if among else ""

    def hurry(self, now_ms: float) -> None:
        """Greet somebody soon, and more often for a while."""
        self._rest_ms = MIN_GREETING_INTERVAL_MS
        self._greet_ms = min(self._greet_ms, now_ms + MIN_GREETING_INTERVAL_MS * self._rng.random())

    def on_item(self, source: str, item: bytes, now_ms: float) -> None:
        """An item has arrived from another copy. One that can't be read is counted and dropped."""
        message = digests.unpacked(item)
        if message is None or not self._others.record_contact(source, now_ms):
            self.counts["bad"] += 1
            return
        if isinstance(message, Sum):
            self._anti_entropy.on_sum(source, message, now_ms)
        elif isinstance(message, PieceRequest):
            self._transfer.on_piece_request(source, message)
        elif isinstance(message, Piece):
            data = self._transfer.on_piece(source, message, now_ms)
            if data:
                if not self.state.vector:  # all that is known here is from others
                    self.give_up()
                self._append(LogRecord("", [], [], data))
        elif isinstance(message, Offer):
            self._transfer.on_offer(source, message, self.state, now_ms)
        elif message.origin != self.state.origin:
            self.counts["other_origin"] += 1
        elif isinstance(message, Have):
            self._anti_entropy.on_have(source, message, now_ms)
        elif isinstance(message, EditRequest):
            self._anti_entropy.on_request(source, message, now_ms)
        else:
            self._anti_entropy.on_edits(source, message, now_ms)

    def agree(self, source: str, vector: Mapping[str, int]) -> None:
        """`source` has the same edits as this copy: those of `vector`."""
        self._others.agreed[source] = vector
        self._judge()

    def offer(self, to: str, writer: str, count: int, now_ms: float) -> None:
        """Offer the whole state to one that lacks an edit which is in the base."""
        self._transfer.offer(to, self.state, writer, count, now_ms)

    # ------------------------------------------------ who was away

    def away(self, now_ms: float) -> list[str]:
        """Peers that have been silent for so long that they are not waited for."""
        return self._others.away(now_ms)

    def _adopt(self, new: State) -> None:
        """Go on from another's state. What was known here and is not there is kept and taken anew: by the rules of
        every copy it is proposals, where it had not seen what is in the base.
        """
        old, self.state = self.state, new
        self.counts["adopted"] += 1
        self.met = True
        self.writer = self._new_writer()
        self._others.agreed.clear()
        self._anti_entropy.reset()
        if old.origin != new.origin:
            return
        lost = old.edits_lacking_in(new)
        for writer, edits in lost.items():
            if edits:
                self._append(LogRecord(writer, edits))

    def unseen(self) -> Collection[Dot]:
        """Edits that are held since their causes are missing."""
        return self.state.raw.keys()
