"""`python packages/owners/tests/explore_owners.py [--depth N]`: explores every message order, 2 proposers, 3 replicas.

The network is the set of all messages ever sent to replicas: each may arrive at any time, once, repeatedly or never.
In each step, a message reaches a replica and the answer arrives or is lost; or the flush is lost and the replica
restarts from its disk; or a replica crashes; or a proposer times out and takes a higher ballot, or begins its next
write. Late answers need no case of their own: a proposer reacts by sending messages, and those may be late. States that
differ only by a permutation of the replicas count once. So do states that differ only in answer counts, which matter
only when a disk is lost (test_owners_seeds.py covers lost disks). The real acceptors and proposers run; each transition
is cached. Checked in every state: each version has one value, each chosen value follows the previous one, the record of
an operation that ended as DONE was chosen, and no operation returns an older version than had ended when it began.
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


class InvariantError(AssertionError):
    """An invariant does not hold in a reachable state."""


class Outbox:
    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def post(self, to: str, item: bytes) -> bool:
        self.sent.append((to, item))
        return True

    def alive(self) -> Sequence[str]:
        return NAMES


def new_disk(number: int) -> AcceptorState:
    disk = AcceptorState(number + 1, SET, (1, number + 1), True)
    disk.peer_progress = {name: (1, n + 1, 0) for n, name in enumerate(NAMES) if n != number}
    return disk


def restart(number: int, disk: AcceptorState) -> Acceptor:
    """An acceptor started from its disk, with a fingerprint that confirms that the disk is current."""
    return Acceptor(NAMES[number], disk, fingerprint(disk))


class Replica(NamedTuple):
    acceptor: Acceptor
    disk: AcceptorState  # the flushed state


@dataclass(slots=True)
class ProposerState:
    proposer: Proposer
    writes: int = 0
    rounds: int = 0
    began: Version = (0, 0)  # the highest completed version when its operation began
    next: Version | None = (0, 0)  # the version that its next write expects
    ended: tuple[Hashable, ...] = ()
    signature: int = 0  # identifies all of the state except the replies
    reply_keys: tuple[int, ...] = (0, 0, 0)  # by replica


class State(NamedTuple):
    """Replicas and proposers as interned numbers; bit sets of the messages sent to and accepted at each replica."""

    replicas: tuple[int, int, int]
    proposers: tuple[int, int]
    sent_to: tuple[int, int, int]
    accepted: tuple[int, int, int]
    done: Version


class Move(NamedTuple):
    """A proposer's transition: its state afterwards, the messages sent to each replica, and operation results."""

    after: int
    sent: tuple[int, int, int]
    results: tuple[Result, ...]


class Interner:
    """Numbers values by key; values with equal keys share a number."""

    def __init__(self) -> None:
        self.numbers: dict[Hashable, int] = {}
        self.values: list[Any] = []

    def intern(self, key: Hashable, value: Any) -> int:
        number = self.numbers.setdefault(key, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


class Explorer:
    def __init__(self, writes: tuple[int, int] = (1, 1), rounds: tuple[int, int] = (2, 2)) -> None:
        self.writes, self.rounds = writes, rounds
        self.items, self.replica_table, self.proposer_table = Interner(), Interner(), Interner()
        self.signatures, self.reply_tuples, self.chosen = Interner(), Interner(), Interner()
        self.replica_moves: dict[tuple[int, int, int], Any] = {}
        self.proposer_moves: dict[Hashable, Move] = {}
        self.replica_keys: list[int] = []  # by number; equal for all replicas in the same state
        self.restarts: dict[int, int] = {}
        self.checked: set[int] = set()

    def initial_state(self) -> State:
        replicas = tuple(
            self._intern_replica(n, Replica(restart(n, new_disk(n)), new_disk(n))) for n in range(3)
        )
        proposers = tuple(
            self._intern_proposer(ProposerState(Proposer(name, n + 1, SET, Outbox(), lambda: 0.0)))
            for n, name in enumerate("ab")
        )
        return State(replicas, proposers, (0, 0, 0), (0, 0, 0), (0, 0))  # type: ignore[arg-type]

    def successors(self, state: State) -> Iterator[State]:
        for n in range(3):
            left = state.sent_to[n]
            while left:
                number = (left & -left).bit_length() - 1
                left &= left - 1
                yield from self._deliver(state, n, number)
            if (restarted := self._restart(n, state.replicas[n])) != state.replicas[n]:
                yield state._replace(replicas=_replaced(state.replicas, n, restarted))
        for index in (0, 1):
            p: ProposerState = self.proposer_table.values[state.proposers[index]]
            if p.proposer._open and p.rounds < self.rounds[index]:
                yield self._after_move(state, index, self._cached_move(state.proposers[index], ("round",)))
            elif p.next is not None and p.writes < self.writes[index]:
                start = self._cached_move(state.proposers[index], ("start", state.done))
                yield self._after_move(state, index, start)

    # Replicas

    def _intern_replica(self, n: int, k: Replica) -> int:
        signature = (k.acceptor.mode, k.acceptor.state.slots.get(KEY), k.disk.slots.get(KEY))
        number = self.replica_table.intern(
            (n, k.acceptor.state.incarnation, k.disk.incarnation, signature), k
        )
        if number == len(self.replica_keys):
            self.replica_keys.append(self.signatures.intern(signature, None))
        return number

    def _restart(self, n: int, number: int) -> int:
        if number in self.restarts:
            return self.restarts[number]
        disk = self.replica_table.values[number].disk
        restarted = self.restarts[number] = self._intern_replica(n, Replica(restart(n, disk.copy()), disk))
        return restarted

    def _replica_move(self, n: int, number: int, item: int) -> tuple[int, int | None, int, tuple[int, ...]]:
        """Return the replica afterwards, or after a lost flush; the accepted record as a bit; and the answers."""
        old: Replica = self.replica_table.values[number]
        acceptor = object.__new__(Acceptor)
        acceptor.__dict__.update(old.acceptor.__dict__)
        acceptor.state = old.acceptor.state.copy()
        request = self.items.values[item]
        output = acceptor.on_message(request.ballot[1], request)
        disk = old.disk.copy()
        for entry in output.entries:
            disk.apply(entry)
        bit = 0
        for _, answer in output.messages:
            if isinstance(answer, Accepted) and isinstance(request, Accept):
                bit = 1 << self.chosen.intern(
                    (request.ballot, request.record), (request.ballot, request.record)
                )
        after = self._intern_replica(n, Replica(acceptor, disk))
        lost = self._restart(n, number) if output.entries else None
        return after, lost, bit, tuple(self._item(answer) for _, answer in output.messages)

    def _deliver(self, state: State, n: int, item: int) -> Iterator[State]:
        key = (n, state.replicas[n], item)
        if key not in self.replica_moves:
            self.replica_moves[key] = self._replica_move(*key)
        after, lost, bit, answers = self.replica_moves[key]
        if lost is not None and lost != state.replicas[n]:
            yield state._replace(replicas=_replaced(state.replicas, n, lost))
        new = state
        if after != state.replicas[n] or bit | state.accepted[n] != state.accepted[n]:
            replicas = _replaced(state.replicas, n, after)
            accepted = _replaced(state.accepted, n, state.accepted[n] | bit)
            new = State(replicas, state.proposers, state.sent_to, accepted, state.done)
            yield new  # its answer is lost
        index = 0 if self.items.values[item].ballot[1] == "a" else 1
        for answer in answers:
            move = self._cached_move(state.proposers[index], (n, answer))
            if move.after != state.proposers[index]:
                yield self._after_move(new, index, move)

    def _item(self, item: AnyMessage) -> int:
        """Intern a message without its answer counts and `promised_by`, which matter only when a disk is lost."""
        match item:
            case Accept():
                fingerprint: Hashable = (3, item.ballot, item.record)
            case Promised():
                fingerprint = (5, item.ballot, item.accepted_ballot, item.record, item.progress[:2])
            case Accepted():
                fingerprint = (6, item.ballot, item.progress[:2])
            case _:
                fingerprint = item
        return self.items.intern(fingerprint, item)

    # Proposers

    def _intern_proposer(self, p: ProposerState) -> int:
        ops = p.proposer._open
        p.signature = self.signatures.intern(
            (
                (p.proposer.name, p.writes, p.rounds, p.began, p.next, p.ended, p.proposer._counter),
                tuple((op.ballot, op.phase, op.proposal, op.outcome, op.may_have_counted) for op in ops),
            ),
            None,
        )
        p.reply_keys = tuple(
            self.reply_tuples.intern(
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
        return self.proposer_table.intern((p.signature, p.reply_keys), p)

    def _move(self, number: int, action: tuple[Any, ...]) -> Move:
        old: ProposerState = self.proposer_table.values[number]
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
        p = ProposerState(proposer, old.writes, old.rounds, old.began, old.next, old.ended)
        match action:
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
                proposer.on_message(NAMES[n], self.items.values[item], 0.0)
        for result in results:
            version = result.record.version if result.record is not None else (0, 0)
            if version < p.began:
                raise InvariantError(f"an operation returned {version}, {p.began} had ended before")
            p.ended = (*p.ended, (version, result.outcome, result.may_have_counted))
            p.next = version
        sent = [0, 0, 0]
        for name, data in outbox.sent:
            item = decode(data)
            assert item is not None
            sent[NAMES.index(name)] |= 1 << self._item(item)
        return Move(self._intern_proposer(p), tuple(sent), tuple(results))  # type: ignore[arg-type]

    def _cached_move(self, number: int, action: tuple[Any, ...]) -> Move:
        key = (number, action)
        move = self.proposer_moves.get(key)
        if move is None:
            move = self.proposer_moves[key] = self._move(number, action)
        return move

    def _after_move(self, state: State, index: int, move: Move) -> State:
        done = state.done
        for result in move.results:
            if result.outcome is Outcome.DONE and result.record is not None:
                if not any(record == result.record for _, record in self._chosen(state.accepted)):
                    raise InvariantError(f"{result.record} was reported as written, but no majority has it")
                done = max(done, result.record.version)
        (a, b, c), (d, e, f) = state.sent_to, move.sent
        proposers = (move.after, state.proposers[1]) if index == 0 else (state.proposers[0], move.after)
        return State(state.replicas, proposers, (a | d, b | e, c | f), state.accepted, done)

    # Checks

    def _chosen(self, accepted: tuple[int, int, int]) -> list[tuple[Ballot, Record]]:
        a, b, c = accepted
        bits = (a & b) | (a & c) | (b & c)
        return [pair for n, pair in enumerate(self.chosen.values) if bits >> n & 1]

    def check(self, state: State) -> None:
        a, b, c = state.accepted
        bits = (a & b) | (a & c) | (b & c)
        if bits in self.checked:
            return
        values: dict[Version, Record] = {}
        before: Record | None = None
        for _, record in sorted(self._chosen(state.accepted), key=lambda pair: pair[0]):
            if values.setdefault(record.version, record) != record:
                raise InvariantError(f"two values of {record.version}: {values[record.version]} and {record}")
            last = before.version if before is not None else (0, 0)
            if record != before and record.version != (last[0] + 1, last[1] + 1):
                raise InvariantError(f"{record} was chosen after {before}")
            before = record
        self.checked.add(bits)

    def signature(self, state: State) -> Hashable:
        """Return a hash that is equal for states that differ only by a permutation of the replicas."""
        a, b = self.proposer_table.values[state.proposers[0]], self.proposer_table.values[state.proposers[1]]
        signatures, (k, m, o), (d, e, f), (g, h, i) = (
            self.replica_keys,
            state.replicas,
            state.sent_to,
            state.accepted,
        )
        (q, r, s), (t, u, v) = a.reply_keys, b.reply_keys
        bundles = [(signatures[k], d, g, q, t), (signatures[m], e, h, r, u), (signatures[o], f, i, s, v)]
        bundles.sort()
        return hash((*bundles, a.signature, b.signature, state.done))

    def run(
        self, depth: int, timeout_s: float = float("inf"), verbose: bool = False
    ) -> tuple[int, int, bool]:
        """Return the number of states seen, the fully explored depth, and whether all reachable states were seen."""
        started = time.monotonic()
        frontier = [self.initial_state()]
        seen = {self.signature(frontier[0])}
        for level in range(1, depth + 1):
            next_frontier: list[State] = []
            for state in frontier:
                for new in self.successors(state):
                    signature = self.signature(new)
                    if signature not in seen:
                        seen.add(signature)
                        self.check(new)
                        next_frontier.append(new)
                if time.monotonic() - started > timeout_s:
                    return len(seen), level - 1, False
            frontier = next_frontier
            if verbose:
                print(f"depth {level}: {len(seen)} states, {time.monotonic() - started:.1f} s", flush=True)
            if not frontier:
                return len(seen), level - 1, True
        return len(seen), depth, False


def _replaced(values: tuple[Any, ...], n: int, value: Any) -> Any:
    return (*values[:n], value, *values[n + 1 :])


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--rounds", type=int, nargs=2, default=(2, 2), help="ballots of a write, by proposer")
    parser.add_argument("--writes", type=int, nargs=2, default=(1, 1), help="by proposer")
    args = parser.parse_args()
    states, depth, is_complete = Explorer(tuple(args.writes), tuple(args.rounds)).run(
        args.depth, args.seconds, True
    )
    print(f"{states} states, {'complete' if is_complete else 'all'} to depth {depth}: no invariant violated")
    return 0


if __name__ == "__main__":
    sys.exit(main())
