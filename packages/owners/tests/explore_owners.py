"""`python packages/owners/tests/explore_owners.py [--depth N]`: two proposers, three keepers, every order of messages.

The network is the set of all that was ever sent to keepers: each item may come at any time, once, often, or never. At
each step one item comes to one keeper, and its answer comes or is lost; or its flush is lost, and it starts again from
its disk; or a keeper crashes; or a proposer's wait ends and it takes a higher ballot; or it begins its next write. An
answer that comes late is no case of its own: what a proposer does with it is to send, and what it sends may be as late
as anything. States that differ only by which keeper is which count once, and so do those that differ only in how many
answers were counted: no disk is lost here, so nothing rests on that number (lost disks: test_owners_seeds.py). Real
keepers and proposers are run; what one of them does in one state is remembered.

Checked in every state: one value for each version, each value chosen follows the one before, an operation that has
ended as done was chosen, and what an operation gives is no older than what had ended when it began.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Hashable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState, fingerprint
from larkweir_owners.messages import (
    Accept,
    Accepted,
    AnyMessage,
    Ballot,
    Promised,
    Record,
    ReplicaSet,
    Version,
    decode,
)
from larkweir_owners.ports import Outcome, Result
from larkweir_owners.proposer import Operation, Proposer

KEY = "d"
NAMES = ("k0", "k1", "k2")
SET = ReplicaSet(1, NAMES)


class BrokenError(AssertionError):
    """What was promised does not hold in a state that can be reached."""


class Outbox:
    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def post(self, to: str, item: bytes) -> bool:
        self.sent.append((to, item))
        return True

    def alive(self) -> Sequence[str]:
        return NAMES


def fresh_disk(number: int) -> AcceptorState:
    disk = AcceptorState(number + 1, SET, (1, number + 1), True)
    disk.peer_progress = {name: (1, n + 1, 0) for n, name in enumerate(NAMES) if n != number}
    return disk


def raised(number: int, disk: AcceptorState) -> Acceptor:
    """A keeper on its disk, with its predecessor's word that the disk is the latest."""
    return Acceptor(NAMES[number], disk, fingerprint(disk))


class K(NamedTuple):
    keeper: Acceptor
    disk: AcceptorState  # what was flushed


@dataclass(slots=True)
class P:
    proposer: Proposer
    writes: int = 0
    rounds: int = 0
    began: Version = (0, 0)  # the highest version that had ended when its operation began
    next: Version | None = (0, 0)  # what its next write expects
    ended: tuple[Hashable, ...] = ()
    sign: int = 0  # of all but what follows
    told: tuple[int, ...] = (0, 0, 0)  # by keeper


class State(NamedTuple):
    """Numbers of keepers and proposers; sets, as bits, of what was ever sent to a keeper and ever accepted there."""

    keepers: tuple[int, int, int]
    proposers: tuple[int, int]
    to: tuple[int, int, int]
    accepted: tuple[int, int, int]
    done: Version


class Move(NamedTuple):
    """What a proposer did: itself afterwards, what it sent to each keeper, what it was given for its operations."""

    after: int
    sent: tuple[int, int, int]
    results: tuple[Result, ...]


class Numbers:
    """Things by number; two with the same key are one."""

    def __init__(self) -> None:
        self.of: dict[Hashable, int] = {}
        self.things: list[Any] = []

    def put(self, key: Hashable, thing: Any) -> int:
        number = self.of.setdefault(key, len(self.things))
        if number == len(self.things):
            self.things.append(thing)
        return number


class Explorer:
    def __init__(self, writes: tuple[int, int] = (1, 1), rounds: tuple[int, int] = (2, 2)) -> None:
        self.writes, self.rounds = writes, rounds
        self.items, self.ks, self.ps = Numbers(), Numbers(), Numbers()
        self.signs, self.tolds, self.chosen = Numbers(), Numbers(), Numbers()
        self.keeper_moves: dict[tuple[int, int, int], Any] = {}
        self.moves: dict[Hashable, Move] = {}
        self.k_signs: list[int] = []  # by number, the same for all keepers
        self.restarts: dict[int, int] = {}
        self.good: set[int] = set()

    def first(self) -> State:
        keepers = tuple(self._number_k(n, K(raised(n, fresh_disk(n)), fresh_disk(n))) for n in range(3))
        proposers = tuple(
            self._number_p(P(Proposer(name, n + 1, SET, Outbox(), lambda: 0.0)))
            for n, name in enumerate("ab")
        )
        return State(keepers, proposers, (0, 0, 0), (0, 0, 0), (0, 0))  # type: ignore[arg-type]

    def steps(self, state: State) -> Iterator[State]:
        for n in range(3):
            left = state.to[n]
            while left:
                number = (left & -left).bit_length() - 1
                left &= left - 1
                yield from self._to_keeper(state, n, number)
            if (again := self._restart(n, state.keepers[n])) != state.keepers[n]:
                yield state._replace(keepers=_with(state.keepers, n, again))
        for who in (0, 1):
            p: P = self.ps.things[state.proposers[who]]
            if p.proposer._open and p.rounds < self.rounds[who]:
                yield self._moved(state, who, self._known_move(state.proposers[who], ("round",)))
            elif p.next is not None and p.writes < self.writes[who]:
                start = self._known_move(state.proposers[who], ("start", state.done))
                yield self._moved(state, who, start)

    # Keepers

    def _number_k(self, n: int, k: K) -> int:
        sign = (k.keeper.mode, k.keeper.state.slots.get(KEY), k.disk.slots.get(KEY))
        number = self.ks.put((n, k.keeper.state.incarnation, k.disk.incarnation, sign), k)
        if number == len(self.k_signs):
            self.k_signs.append(self.signs.put(sign, None))
        return number

    def _restart(self, n: int, number: int) -> int:
        if number in self.restarts:
            return self.restarts[number]
        disk = self.ks.things[number].disk
        again = self.restarts[number] = self._number_k(n, K(raised(n, disk.copy()), disk))
        return again

    def _keeper_move(self, n: int, number: int, item: int) -> tuple[int, int | None, int, tuple[int, ...]]:
        """The keeper afterwards; the same where its flush was lost; what it has now accepted, as a bit; answers."""
        old: K = self.ks.things[number]
        keeper = object.__new__(Acceptor)
        keeper.__dict__.update(old.keeper.__dict__)
        keeper.state = old.keeper.state.copy()
        asked = self.items.things[item]
        step = keeper.on_message(asked.ballot[1], asked)
        disk = old.disk.copy()
        for entry in step.entries:
            disk.apply(entry)
        bit = 0
        for _, answer in step.messages:
            if isinstance(answer, Accepted) and isinstance(asked, Accept):
                bit = 1 << self.chosen.put((asked.ballot, asked.record), (asked.ballot, asked.record))
        after = self._number_k(n, K(keeper, disk))
        lost = self._restart(n, number) if step.entries else None
        return after, lost, bit, tuple(self._item(answer) for _, answer in step.messages)

    def _to_keeper(self, state: State, n: int, item: int) -> Iterator[State]:
        key = (n, state.keepers[n], item)
        if key not in self.keeper_moves:
            self.keeper_moves[key] = self._keeper_move(*key)
        after, lost, bit, answers = self.keeper_moves[key]
        if lost is not None and lost != state.keepers[n]:
            yield state._replace(keepers=_with(state.keepers, n, lost))
        new = state
        if after != state.keepers[n] or bit | state.accepted[n] != state.accepted[n]:
            keepers = _with(state.keepers, n, after)
            accepted = _with(state.accepted, n, state.accepted[n] | bit)
            new = State(keepers, state.proposers, state.to, accepted, state.done)
            yield new  # its answer is lost
        who = 0 if self.items.things[item].ballot[1] == "a" else 1
        for answer in answers:
            move = self._known_move(state.proposers[who], (n, answer))
            if move.after != state.proposers[who]:
                yield self._moved(new, who, move)

    def _item(self, item: AnyMessage) -> int:
        """Numbers of answers are left out, and who else promised: nothing rests on them while no disk is lost."""
        match item:
            case Accept():
                fingerprint: Hashable = (3, item.ballot, item.record)
            case Promised():
                fingerprint = (5, item.ballot, item.accepted_ballot, item.record, item.progress[:2])
            case Accepted():
                fingerprint = (6, item.ballot, item.progress[:2])
            case _:
                fingerprint = item
        return self.items.put(fingerprint, item)

    # Proposers

    def _number_p(self, p: P) -> int:
        ops = p.proposer._open
        p.sign = self.signs.put(
            (
                (p.proposer.name, p.writes, p.rounds, p.began, p.next, p.ended, p.proposer._counter),
                tuple((op.ballot, op.phase, op.proposal, op.outcome, op.may_have_counted) for op in ops),
            ),
            None,
        )
        p.told = tuple(
            self.tolds.put(
                tuple(
                    (
                        name in op.promises and self._item(op.promises[name]),
                        name in op.promised_by,
                        name in op.accepted_by,
                    )
                    for op in ops
                ),
                None,
            )
            for name in NAMES
        )
        return self.ps.put((p.sign, p.told), p)

    def _move(self, number: int, how: tuple[Any, ...]) -> Move:
        old: P = self.ps.things[number]
        results: list[Result] = []
        proposer = object.__new__(Proposer)
        proposer.__dict__.update(old.proposer.__dict__)
        outbox = Outbox()
        proposer._transport = outbox
        proposer._open = []
        for op in old.proposer._open:
            fresh = object.__new__(Operation)
            for slot in Operation.__slots__:
                setattr(fresh, slot, getattr(op, slot))
            fresh.promises, fresh.promised_by, fresh.accepted_by = (
                dict(op.promises),
                dict(op.promised_by),
                set(op.accepted_by),
            )
            fresh.on_result = results.append
            proposer._open.append(fresh)
        p = P(proposer, old.writes, old.rounds, old.began, old.next, old.ended)
        match how:
            case ("round",):
                p.rounds += 1
                proposer._start_round(proposer._open[0])
            case ("start", done):
                p.writes, p.rounds, p.began = p.writes + 1, 1, done
                expected = p.next or (0, 0)
                p.next = None
                record = Record(expected[0] + 1, expected[1] + 1, proposer.name, proposer.incarnation)
                proposer.write(KEY, expected, record, results.append)
            case (n, item):
                proposer.on_message(NAMES[n], self.items.things[item], 0.0)
        for result in results:
            version = result.record.version if result.record is not None else (0, 0)
            if version < p.began:
                raise BrokenError(f"an operation gave {version}, {p.began} had ended when it began")
            p.ended = (*p.ended, (version, result.outcome, result.may_have_counted))
            p.next = version
        sent = [0, 0, 0]
        for name, data in outbox.sent:
            item = decode(data)
            assert item is not None
            sent[NAMES.index(name)] |= 1 << self._item(item)
        return Move(self._number_p(p), tuple(sent), tuple(results))  # type: ignore[arg-type]

    def _known_move(self, number: int, how: tuple[Any, ...]) -> Move:
        key = (number, how)
        move = self.moves.get(key)
        if move is None:
            move = self.moves[key] = self._move(number, how)
        return move

    def _moved(self, state: State, who: int, move: Move) -> State:
        done = state.done
        for result in move.results:
            if result.outcome is Outcome.DONE and result.record is not None:
                if not any(record == result.record for _, record in self._chosen(state.accepted)):
                    raise BrokenError(f"{result.record} is told as written, and no majority has it")
                done = max(done, result.record.version)
        (a, b, c), (d, e, f) = state.to, move.sent
        proposers = (move.after, state.proposers[1]) if who == 0 else (state.proposers[0], move.after)
        return State(state.keepers, proposers, (a | d, b | e, c | f), state.accepted, done)

    # Checks

    def _chosen(self, accepted: tuple[int, int, int]) -> list[tuple[Ballot, Record]]:
        a, b, c = accepted
        bits = (a & b) | (a & c) | (b & c)
        return [one for n, one in enumerate(self.chosen.things) if bits >> n & 1]

    def check(self, state: State) -> None:
        a, b, c = state.accepted
        bits = (a & b) | (a & c) | (b & c)
        if bits in self.good:
            return
        values: dict[Version, Record] = {}
        before: Record | None = None
        for _, record in sorted(self._chosen(state.accepted), key=lambda one: one[0]):
            if values.setdefault(record.version, record) != record:
                raise BrokenError(f"two values of {record.version}: {values[record.version]} and {record}")
            last = before.version if before is not None else (0, 0)
            if record != before and record.version != (last[0] + 1, last[1] + 1):
                raise BrokenError(f"{record} was chosen behind {before}")
            before = record
        self.good.add(bits)

    def sign(self, state: State) -> Hashable:
        """The same for states that differ only in which keeper is which."""
        a, b = self.ps.things[state.proposers[0]], self.ps.things[state.proposers[1]]
        signs, (k, m, o), (d, e, f), (g, h, i) = self.k_signs, state.keepers, state.to, state.accepted
        (q, r, s), (t, u, v) = a.told, b.told
        bundles = [(signs[k], d, g, q, t), (signs[m], e, h, r, u), (signs[o], f, i, s, v)]
        bundles.sort()
        return hash((*bundles, a.sign, b.sign, state.done))

    def run(self, depth: int, most_s: float = float("inf"), tell: bool = False) -> tuple[int, int, bool]:
        """States seen, the depth to which all of them were, and whether there are no more behind it."""
        started = time.monotonic()
        edge = [self.first()]
        seen = {self.sign(edge[0])}
        for level in range(1, depth + 1):
            further: list[State] = []
            for state in edge:
                for new in self.steps(state):
                    sign = self.sign(new)
                    if sign not in seen:
                        seen.add(sign)
                        self.check(new)
                        further.append(new)
                if time.monotonic() - started > most_s:
                    return len(seen), level - 1, False
            edge = further
            if tell:
                print(f"depth {level}: {len(seen)} states, {time.monotonic() - started:.1f} s", flush=True)
            if not edge:
                return len(seen), level - 1, True
        return len(seen), depth, False


def _with(values: tuple[Any, ...], n: int, value: Any) -> Any:
    return (*values[:n], value, *values[n + 1 :])


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--rounds", type=int, nargs=2, default=(2, 2), help="ballots of a write, by proposer")
    parser.add_argument("--writes", type=int, nargs=2, default=(1, 1), help="by proposer")
    args = parser.parse_args()
    states, depth, whole = Explorer(tuple(args.writes), tuple(args.rounds)).run(
        args.depth, args.seconds, True
    )
    print(f"{states} states, {'whole' if whole else 'all'} to depth {depth}: no promise broken")
    return 0


if __name__ == "__main__":
    sys.exit(main())
