"""Plans of faults over a fleet of processes, drawn from a generator, and what they do to each datagram.

A fault has a beginning and an end, and a plan holds none that ends after it: so each plan ends healed. Times are
milliseconds from the plan's start.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class Kind(StrEnum):
    CUT = "cut"  # nothing passes between `who` and `to`
    ONE_WAY = "one-way"  # nothing passes from `who` to `to`
    GROUPS = "groups"  # a cut between two groups that are all together
    DELAY = "delay"  # `ms` and up to as much again
    DROP = "drop"  # by `chance`, as the next two
    DOUBLE = "double"  # a second one up to `ms` later
    REORDER = "reorder"  # held for `ms`, while what is behind it passes
    SLOW = "slow"  # one datagram in `ms` passes on each way
    STOP = "stop"  # SIGSTOP, at its end SIGCONT
    KILL = "kill"  # SIGKILL, at its end started with a `disk`
    DRAIN = "drain"  # SIGTERM, at its end started
    FULL = "full"  # no file of it grows any more; at its end SIGTERM, and started where there is room again
    RESET = (
        "reset"  # connections to the servers `who`: those that are there, and until the end those that come
    )
    DISCOVERY = "discovery"  # gone for all


class Disk(StrEnum):
    OLD = "old"  # as it was left
    LOST = "no"
    YESTERDAY = "yesterday's"  # as it was at `saved_ms`


CUTS = (Kind.CUT, Kind.ONE_WAY, Kind.GROUPS)
WEATHER = (Kind.DELAY, Kind.DROP, Kind.DOUBLE, Kind.REORDER, Kind.SLOW)
PROCESSES = (Kind.STOP, Kind.KILL, Kind.DRAIN, Kind.FULL)
QUEUE_MS = 2_000.0  # what would wait longer on a slow way is lost


@dataclass(frozen=True, slots=True)
class Fault:
    """`who`: the processes it is about, or whose datagrams; `to`: to whom those go."""

    kind: Kind
    begin_ms: float
    end_ms: float
    who: tuple[str, ...] = ()
    to: tuple[str, ...] = ()
    chance: float = 0.0
    ms: float = 0.0
    disk: Disk = Disk.OLD
    saved_ms: float = 0.0

    def words(self) -> str:
        """For a report."""
        more = f" to {', '.join(self.to)}" if self.to else ""
        more += f", {self.disk} disk" if self.kind is Kind.KILL else ""
        return f"{self.begin_ms:.0f} to {self.end_ms:.0f} ms: {self.kind} {', '.join(self.who)}{more}"


@dataclass(frozen=True, slots=True)
class Step:
    at_ms: float
    begins: bool
    fault: Fault
    saves: bool = False  # the disk is copied, and nothing else: what `YESTERDAY` comes back to


@dataclass(frozen=True, slots=True)
class Plan:
    faults: tuple[Fault, ...]
    length_ms: float

    def steps(self) -> list[Step]:
        """In their order. At one time what ends comes before what begins."""
        found = [Step(fault.begin_ms, True, fault) for fault in self.faults]
        found += [Step(fault.end_ms, False, fault) for fault in self.faults]
        found += [
            Step(fault.saved_ms, True, fault, True) for fault in self.faults if fault.disk is Disk.YESTERDAY
        ]
        return sorted(found, key=lambda step: (step.at_ms, step.begins, not step.saves))


def drawn(
    rng: Random,
    names: Sequence[str],
    keepers: Sequence[str],
    length_ms: float,
    count: int,
    lease_ms: float,
    kinds: Sequence[Kind] = tuple(Kind),
    servers: Sequence[str] = (),
) -> Plan:
    """`count` faults of half a lease to four leases each, or fewer where no process is free for one.

    `servers`: those whose connections can be reset. A process has one fault of its own at a time, a calm lease lies
    before the plan's end, and one keeper at most loses what is on its disk: who loses more than that has lost the
    registers, which no protocol mends.
    """
    found: list[Fault] = []
    busy: list[tuple[str, float, float]] = []
    disk_lost = False
    last_ms = max(length_ms - lease_ms, 0.0)
    for _ in range(count):
        kind = rng.choice(list(kinds))
        begin_ms = rng.uniform(0.0, last_ms * 0.75)
        end_ms = min(begin_ms + rng.uniform(0.5, 4.0) * lease_ms, last_ms)
        if kind is Kind.DISCOVERY:
            if not any(name == "" and begin_ms <= to and end_ms >= at for name, at, to in busy):
                busy.append(("", begin_ms, end_ms))  # it can't go twice
                found.append(Fault(kind, begin_ms, end_ms))
        elif kind is Kind.RESET:
            if servers:
                found.append(Fault(kind, begin_ms, end_ms, (rng.choice(list(servers)),)))
        elif kind in PROCESSES:
            free = [
                name
                for name in names
                if not any(name == other and begin_ms <= to and end_ms >= at for other, at, to in busy)
            ]
            if not free:
                continue
            name = rng.choice(free)
            disk: Disk = rng.choice([*Disk]) if kind is Kind.KILL else Disk.OLD
            if disk is not Disk.OLD:
                if name in keepers and disk_lost:
                    disk = Disk.OLD
                disk_lost |= name in keepers
            saved_ms = rng.uniform(0.0, begin_ms) if disk is Disk.YESTERDAY else 0.0
            busy.append((name, begin_ms, end_ms))
            found.append(Fault(kind, begin_ms, end_ms, (name,), disk=disk, saved_ms=saved_ms))
        else:
            size = len(names) // 2 if kind is Kind.GROUPS else 1
            mixed = rng.sample(list(names), len(names))
            most = len(names) if kind is Kind.GROUPS or kind in WEATHER else size + 1
            who = mixed if kind in WEATHER else mixed[:size]
            to = mixed if kind in WEATHER else mixed[size:most]
            found.append(
                Fault(
                    kind,
                    begin_ms,
                    end_ms,
                    tuple(sorted(who)),
                    tuple(sorted(to)),
                    chance=rng.uniform(0.05, 0.4),
                    ms=rng.uniform(2.0, 10.0) if kind is Kind.SLOW else rng.uniform(5.0, lease_ms / 4.0),
                )
            )
    return Plan(tuple(sorted(found, key=lambda fault: fault.begin_ms)), length_ms)


class Air:
    """What becomes of each datagram while faults last."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self._free_ms: dict[tuple[str, str], float] = {}  # when a slow way has passed all that is on it

    def begin(self, fault: Fault) -> None:
        self.faults.append(fault)

    def end(self, fault: Fault) -> None:
        self.faults.remove(fault)
        if fault.kind is Kind.SLOW:
            self._free_ms.clear()

    def fates(self, source: str, to: str, now_ms: float, rng: Random) -> list[float]:
        """After how many milliseconds it goes on; once for each time that it does."""
        there = [fault for fault in self.faults if source in fault.who and to in fault.to]
        back = [fault for fault in self.faults if to in fault.who and source in fault.to]
        if any(fault.kind in CUTS for fault in there):
            return []
        if any(fault.kind in CUTS and fault.kind is not Kind.ONE_WAY for fault in back):
            return []
        late_ms, again_ms = 0.0, list[float]()
        for fault in there:
            if fault.kind is Kind.DELAY:
                late_ms += fault.ms * rng.uniform(1.0, 2.0)
            elif fault.kind is Kind.SLOW:
                free_ms = max(self._free_ms.get((source, to), 0.0), now_ms) + fault.ms
                if free_ms - now_ms > QUEUE_MS:
                    return []
                self._free_ms[source, to] = free_ms
                late_ms += free_ms - now_ms
            elif fault.kind in WEATHER and rng.random() < fault.chance:
                if fault.kind is Kind.DROP:
                    return []
                if fault.kind is Kind.REORDER:
                    late_ms += fault.ms
                else:
                    again_ms.append(rng.uniform(0.0, fault.ms))
        return [late_ms, *(late_ms + more for more in again_ms)]
