"""`python -m standins.world.planted [--seeds 0:30]`: faults put into the real program; how many seeds find each.

A checker that can't fail says nothing. Each fault is a patch at run time, played on the kind of day that should bring
it out. Where a fault names the promise that it breaks, only that promise counts, on a day that keeps it without the
fault. Prints a line each, with the promises that were broken; exit code 1 if one was not found.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from importlib import import_module
from typing import Any, NamedTuple

from standins.world.days import DAYS
from standins.world.play import play


class Planted(NamedTuple):
    what: str
    day: str
    module: str
    name: str  # of a class's part, "Class.part", or of the module's
    make: Callable[[Any], Any]  # from what is there to what is put there
    promise: str = ""  # the check that must find it


def _always(value: Any) -> Callable[[Any], Any]:
    return lambda real: lambda *args, **more: value


def _nothing(real: Any) -> Any:
    return lambda *args, **more: None


def _unlisted(real: Any) -> Any:
    """It forgets to tell."""
    from larkweir_balancing.interface import ServerState

    return real | {"leaving": ServerState.READY}


def _all_outcomes(real: Any) -> Any:
    from larkweir_balancing.interface import Outcome

    return frozenset(Outcome)


def _answers_on(real: Any) -> Any:
    def finish(self: Any) -> None:
        if self.timer is not None:
            self.timer.cancel()

    return finish


def _put_back(real: Any) -> Any:
    """The connection of a call that is given up is used on, with its answer still to come."""

    def release(self: Any, call: Any) -> None:
        if self._call is call:
            self._call = None
            self._pool.put(self)

    return release


def _leaks(real: Any) -> Any:
    def charge(self: Any, before: int, now: int) -> bool:
        return bool(real(self, before, now + (now > 200_000)))

    return charge


def _at_once(real: Any) -> Any:
    def settle(self: Any) -> None:
        from larkweir.lifecycle import events

        if self._closing_idle:
            self.post(events.Drained())

    return settle


def _idle(real: Any) -> Any:
    return lambda self: self.awaits_request


def _writes_over(real: Any) -> Any:
    def propose(self: Any, op: Any, there: Any, agree: bool) -> None:
        if op.record is not None and there is not None:
            op.expected = there.version
        real(self, op, there, agree)

    return propose


def _takes_old(real: Any) -> Any:
    def take(self: Any, key: str, record: Any) -> bool:
        held = self.records.get(key)
        if held is not None and record.version < held.version:
            self.records.pop(key)
        return bool(real(self, key, record))

    return take


def _any_ballot(real: Any) -> Any:
    def accept(self: Any, source: str, item: Any, step: Any) -> None:
        from larkweir_owners.acceptor_state import Slot

        slot = self.state.slots.get(item.key, Slot())
        if item.ballot != slot.promised_ballot:
            self.state.slots[item.key] = Slot(item.ballot, slot.accepted_ballot, slot.record)
        real(self, source, item, step)

    return accept


def _late(real: Any) -> Any:
    def at(self: Any, due_ms: float, call: Any) -> Any:
        return real(self, due_ms + (700.0 if due_ms - self.now_ms() > 1_000.0 else 0.0), call)

    return at


def _answers_twice(real: Any) -> Any:
    """The answer goes out once more where its caller is quick."""

    def answered(self: Any, message: Any, close: bool) -> None:
        if message.minor and self._dispatcher.requests.next_number % 50 == 0:
            self._writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        real(self, message, close)

    return answered


def _fresh_ones(real: Any) -> Any:
    def left(self: Any, connection: Any) -> None:
        self._fresh.pop(connection, None)

    return left


def _held_classes(real: Any) -> Any:
    """A reload that changes no class."""
    return lambda held, told, *more: replace(told, classes=tuple(held))


def _as_it_was(real: Any) -> Any:
    """A class that comes back has the effect that it had before it went."""

    def places(held: Any, told: Any, *more: Any) -> Any:
        before = {item.name: item.effect for item in held}
        return tuple(
            replace(item, effect=before.get(item.name, item.effect)) for item in real(held, told, *more)
        )

    return places


def _without(kind: str) -> Callable[[Any], Any]:
    """The commands of a rule, without one of a kind."""
    return lambda real: lambda self: [item for item in real(self) if type(item).__name__ != kind]


def _newest_gives_way(real: Any) -> Any:
    def enter(self: Any, key: object, now_ms: float) -> object | None:
        return key if len(self) >= self.MOST else real(self, key, now_ms)

    return enter


def _successor_accepts_nothing(real: Any) -> Any:
    return lambda self: real(self) if self._incoming is None else None


def _says_nothing(real: Any) -> Any:
    return lambda self: []


def _tells_more(real: Any) -> Any:
    """As if its client waited 50 ms longer."""

    def send(self: Any, call: Any) -> None:
        call.until_ms += 50.0
        real(self, call)
        call.until_ms -= 50.0

    return send


def _shares_no_address(real: Any) -> Any:
    return staticmethod(lambda address, shared=False: real.__func__(address))


def _at_least_20_ms(real: Any) -> Any:
    return lambda self, now_ms: max(20.0, real(self, now_ms))


def _without_window(real: Any) -> Any:
    """A keyed request is repeated for as long as its client waits."""

    def write_by_ms(self: Any) -> float:
        from larkweir_balancing.interface import Effect

        return float("inf") if self.request_class.effect is Effect.KEYED else float(real(self))

    return write_by_ms


def _written_at_any_time(real: Any) -> Any:
    """The time by which a call may be written counts for the decision alone."""

    def call(self: Any, *args: Any, **more: Any) -> Any:
        return real(self, *args, **(more | {"write_by_ms": float("inf")}))

    return call


def _as_changes(real: Any) -> Any:
    """A whole list says nothing of those that it leaves out."""

    def on_listing(self: Any, listing: Any) -> None:
        from larkweir_balancing.interface import ListKind

        whole = listing.kind is ListKind.FULL
        real(self, replace(listing, kind=ListKind.DELTA) if whole else listing)

    return on_listing


def _property(value: Any) -> Callable[[Any], Any]:
    return lambda real: property(lambda self: value, lambda self, other: None)


POOL, LEGAL, DISPATCHER = (
    "larkweir.upstreams.pool",
    "larkweir_balancing.retry_safety",
    "larkweir.core.dispatcher",
)
REQUEST, TABLE = "larkweir.core.active_request", "larkweir.core.request_table"
HTTP, LISTENER = "larkweir.protocols.http1.upstreams", "larkweir.protocols.listener"

CALLERS = "larkweir.protocols.http1.callers"
POLICY, STATES = "larkweir_balancing.policy", "larkweir.lifecycle.state_machine"
DAEMON, CALL, REGISTER = (
    "larkweir.lifecycle.daemon",
    "larkweir.upstreams.attempt_call",
    "larkweir_owners.proposer",
)

FAULTS: tuple[Planted, ...] = (
    Planted("a drain is not taken over", "churn", "larkweir.membership.listing", "STATES", _unlisted),
    Planted(
        "a drain's grace is forgotten",
        "late",
        "larkweir.upstreams.upstream",
        "Upstream.drain_expired",
        _always(False),
    ),
    Planted("what may have run counts as never run", "churn", LEGAL, "NEVER_RAN", _all_outcomes),
    Planted(
        "a keyed request goes on in another zone", "asleep", LEGAL, "Request._is_in_group", _always(True)
    ),
    Planted("what may have run is refused", "asleep", LEGAL, "Request.can_refuse", _always(True)),
    Planted("the end of a request does not close it", "churn", REQUEST, "ActiveRequest.finish", _answers_on),
    Planted(
        "a request that is over is not forgotten", "calm", TABLE, "RequestTable.remove_if_done", _nothing
    ),
    Planted(
        "one sent ahead has its whole time",
        "late",
        "larkweir.core.message",
        "Message.queued_since_ms",
        _property(0.0),
    ),
    Planted("long timers fire late", "asleep", "larkweir.core.clock", "Clock.at", _late),
    Planted(
        "a given up call's connection is used on", "asleep", HTTP, "UpstreamConnection.release", _put_back
    ),
    Planted("a lost connection stays on the table", "churn", POOL, "UpstreamPool.closed", _nothing),
    Planted(
        "room is booked and not given back",
        "calm",
        "larkweir.core.memory_budget",
        "MemoryBudget.charge",
        _leaks,
    ),
    Planted("a connection does not rest", "spoilt", POOL, "UpstreamPool.REUSE_DELAY_MS", lambda real: 0.0),
    Planted(
        "a cold upstream is not spared",
        "cold",
        "larkweir_balancing.slow_start",
        "SlowStart.admits",
        _always(True),
    ),
    Planted("the process ends at once when told to", "stops", DAEMON, "Daemon._poll_drained", _at_once),
    Planted("connections close with requests unread", "busy", CALLERS, "CallerConnection.is_idle", _idle),
    Planted(
        "what is still taken counts for nothing at the end",
        "busy",
        LISTENER,
        "Listener.unfinished",
        _property(0),
    ),
    Planted("a caller that has left keeps its place", "calm", LISTENER, "Listener.remove", _fresh_ones),
    Planted("one in fifty is answered twice", "calm", CALLERS, "CallerConnection._answered", _answers_twice),
    Planted("a register's write compares nothing", "fleet", REGISTER, "Proposer._propose", _writes_over),
    Planted(
        "an older effect is taken",
        "fleet",
        "larkweir_owners.state_replicator",
        "StateReplicator.apply",
        _takes_old,
    ),
    Planted(
        "a keeper takes any ballot", "fleet", "larkweir_owners.acceptor", "Acceptor._on_accept", _any_ballot
    ),
    Planted(
        "SIGHUP is not carried out",
        "reload",
        DAEMON,
        "Daemon._apply_config",
        _nothing,
        "reloads_count_in_time",
    ),
    Planted(
        "a reload changes no class",
        "reload",
        "larkweir.lifecycle.node",
        "in_place",
        _held_classes,
        "told_what_is_left",
    ),
    Planted(
        "a class that comes back has the effect that it had",
        "reload",
        "larkweir.config.classes",
        "places",
        _as_it_was,
        "nothing_unsafe_twice",
    ),
    Planted(
        "a pause leaves connections open",
        "control",
        STATES,
        "ProcessStateMachine._start_pause",
        _without("SetClosing"),
        "orders_count",
    ),
    Planted(
        "a resume goes on closing",
        "control",
        STATES,
        "ProcessStateMachine._end_pause",
        _without("SetClosing"),
        "orders_count",
    ),
    Planted(
        "an operator gives way to silent callers",
        "control",
        "larkweir.control.rules",
        "Seats.enter",
        _newest_gives_way,
        "control_calls_are_answered",
    ),
    Planted(
        "SIGUSR2 is lost",
        "handover",
        STATES,
        "ProcessStateMachine._on_handover_requested",
        _says_nothing,
        "handovers_end",
    ),
    Planted(
        "a successor accepts nothing",
        "handover",
        DAEMON,
        "Daemon.accept",
        _successor_accepts_nothing,
        "answered_once_in_time",
    ),
    Planted("two processes share no address", "beside", LISTENER, "Listener.bind", _shares_no_address),
    Planted(
        "a client's close that lies unread is not looked for",
        "ahead",
        CALLERS,
        "CallerConnection.gone",
        _always(False),
        "no_attempt_after_the_close",
    ),
    Planted(
        "an upstream is told more time than is left",
        "connects",
        HTTP,
        "UpstreamConnection.send",
        _tells_more,
        "told_what_is_left",
    ),
    Planted(
        "an attempt is written with no time left",
        "connects",
        CALL,
        "AttemptCall.left_ms",
        _at_least_20_ms,
        "told_what_is_left",
    ),
    Planted(
        "the window of a key is not looked at",
        "window",
        LEGAL,
        "Request.write_by_ms",
        _without_window,
        "repeats_within_the_window",
    ),
    Planted(
        "the window of a key is looked at by the decision alone",
        "window",
        POOL,
        "UpstreamPool.call",
        _written_at_any_time,
        "repeats_within_the_window",
    ),
    Planted(
        "a service that failed is asked again too late",
        "asked",
        POLICY,
        "LIST_RETRY_INTERVAL_MS",
        lambda real: 12_000.0,
        "news_is_known_in_time",
    ),
    Planted(
        "a reload does not move discovery",
        "reload",
        "larkweir.membership.discovery",
        "Discovery.move",
        _nothing,
        "moved_lists_are_read",
    ),
    Planted(
        "a whole list changes only what it names",
        "silent",
        DISPATCHER,
        "Dispatcher.on_listing",
        _as_changes,
        "nothing_to_the_left_out",
    ),
    Planted(
        "discovery is asked anew too late",
        "silent",
        "larkweir.membership.discovery",
        "Discovery.FIRST_PAUSE_S",
        lambda real: 9.0,
        "news_is_known_in_time",
    ),
)


def patch(fault: Planted) -> tuple[str, str, Any]:
    holder: Any = import_module(fault.module)
    for step in fault.name.split("."):
        holder = holder.__dict__[step] if isinstance(holder, type) else getattr(holder, step)
    return fault.module, fault.name, fault.make(holder)


def found_by(fault: Planted, seeds: Sequence[int]) -> tuple[int, str]:
    """How many plays it took, and what was said; 0 where none found it."""
    for at, seed in enumerate(seeds):
        wrong = play(DAYS[fault.day], seed, planted=(patch(fault),)).wrong
        if fault.promise and wrong:
            of_it = [line for line in wrong if line.startswith(f"{fault.promise}: ")]
            if not of_it or any(line.startswith(fault.promise) for line in play(DAYS[fault.day], seed).wrong):
                continue
            broken = sorted({line.partition(": ")[0] for line in wrong})
            return at + 1, f"[{', '.join(broken)}] {of_it[0]}"
        if wrong:
            return at + 1, wrong[0]
    return 0, ""


def _one(number: int, first: int, end: int) -> tuple[int, str]:
    return found_by(FAULTS[number], range(first, end))


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.world.planted", description=__doc__)
    parser.add_argument("--seeds", default="0:30", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--only", default="", help="those whose text has this in it")
    told = parser.parse_args(arguments)
    first, _, end = told.seeds.partition(":")
    numbers = [n for n, fault in enumerate(FAULTS) if told.only in fault.what]
    missed = 0
    with ProcessPoolExecutor(told.jobs) as pool:
        several = len(numbers)
        for n, (plays, text) in zip(
            numbers, pool.map(_one, numbers, [int(first)] * several, [int(end)] * several), strict=True
        ):
            missed += not plays
            count = f"after {plays}" if plays else "NOT FOUND"
            print(f"{FAULTS[n].what} ({FAULTS[n].day}): {count}  {text:.160}", flush=True)
    print(f"{len(numbers) - missed} of {len(numbers)} found")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
