"""Two lives of one balancer, cut off, stopped or asked at every step of a handover or an upgrade. One of the two is the
program; the other is played here, so that each step comes when it is told to.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from larkweir.core.recent_ids import RecentIds
from larkweir.lifecycle.channel import HandoverState, TakenIds, decode, encode
from larkweir.lifecycle.incoming_handover import IncomingHandover
from larkweir.lifecycle.state_machine import ProcessStateMachine
from larkweir.lifecycle.upgrade import VERSION, request_sockets, socket_path
from standins.manager import ROOT
from standins.peers import PATIENCE_S, Caller, FakeUpstream, status
from tests.fakes import SETTINGS, running
from tests.lifecycle.service import LONG_MS, Service, alive, service, until
from tests.lifecycle.test_handover import Held, child_of
from tests.lifecycle.test_reload_crossings import Held as HeldById
from tests.lifecycle.test_upgrade import Process, another, balancer
from tests.upstreams.test_attempts import run


def offset_ms() -> float:
    return time.time() * 1000.0 - time.monotonic() * 1000.0


def known(it: Service, *ids: str, shift_ms: float = 0.0, **more: Any) -> HandoverState:
    """What a life says that has seen these ids just now; its clock is off by so much."""
    offset = offset_ms() + shift_ms
    ended = offset + time.monotonic() * 1000.0
    held = it.discovery.whole()
    address = it.data["discovery"]
    return HandoverState(offset, address, held, {}, [(text, ended) for text in ids], {})._replace(**more)


class Words:
    """One end of a channel, read and written word by word."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def on(cls, sock: socket.socket) -> Words:
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=1 << 24))

    async def word(self) -> tuple[str, Any]:
        """The next word, and what comes with it."""
        async with asyncio.timeout(PATIENCE_S):
            line = await self.reader.readline()
        assert line, "the channel has ended"
        return decode(line)

    async def accepts_ids(self, word: str) -> Any:
        """What comes with the next word, which must be this one."""
        said, told = await self.word()
        assert said == word
        return told

    async def ended(self) -> bytes:
        async with asyncio.timeout(PATIENCE_S):
            with suppress(ConnectionError):
                return await self.reader.read()
        return b""

    def say(self, word: str, told: Any = None) -> None:
        self.writer.write(encode(word, told))

    def say_half(self, word: str, told: Any) -> None:
        data = encode(word, told)
        self.writer.write(data[: len(data) // 2])

    async def close(self) -> None:
        """As the end of the process would: what was said has gone out."""
        self.writer.close()
        with suppress(ConnectionError):
            await self.writer.wait_closed()


class Successor(Words):
    """The program, started as by a predecessor that is played here."""

    process: asyncio.subprocess.Process
    log: list[str]
    reading: asyncio.Task[None]

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode().strip())

    async def exit_code(self) -> int:
        async with asyncio.timeout(PATIENCE_S):
            return await self.process.wait()


@asynccontextmanager
async def successor(it: Service, command: tuple[str, ...] = ("-m", "larkweir")) -> AsyncIterator[Successor]:
    listening = socket.create_server(("127.0.0.1", it.port), backlog=64)
    ours, theirs = socket.socketpair()
    passed = (theirs.fileno(), listening.fileno())
    env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "LARKWEIR_"))}
    env |= {
        "GW_CONFIG": str(it.config_path),
        "LARKWEIR_HANDOVER": f"{passed[0]}:{passed[1]}=http1",
    }
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, *command, "run", "--operator", str(it.operator_path)),
        env=env,
        cwd=ROOT,
        pass_fds=passed,
        stderr=asyncio.subprocess.PIPE,
    )
    theirs.close()
    ours.setblocking(False)
    played = await Successor.on(ours)
    assert isinstance(played, Successor)
    played.process, played.log = process, []
    played.reading = asyncio.ensure_future(played._read())
    try:
        yield played
    finally:
        listening.close()
        played.writer.close()
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        if sys.exc_info()[0] is not None:
            print("\n".join(played.log))


@asynccontextmanager
async def alone(folder: Path, *upstreams: FakeUpstream) -> AsyncIterator[Service]:
    """Its files and its peers; no process."""
    async with service(folder, *upstreams, notify=False) as it:
        yield it


async def code(it: Service, trace: str, cls: str = "move") -> int:
    return (await it.ask(cls, b"x", X_Trace_Id=trace))[0]


# ---------------------------------------------------------------- the old one is killed


async def _before_the_state(words: Successor, it: Service) -> set[str]:
    return set()


async def _in_the_state(words: Successor, it: Service) -> set[str]:
    words.say_half("state", known(it, "s1"))
    return set()


async def _after_the_state(words: Successor, it: Service) -> set[str]:
    words.say("state", known(it, "s1"))
    return {"s1"}


async def _after_ready(words: Successor, it: Service) -> set[str]:
    words.say("state", known(it, "s1"))
    await words.accepts_ids("ready")
    return {"s1"}


async def _in_the_go(words: Successor, it: Service) -> set[str]:
    words.say("state", known(it, "s1"))
    await words.accepts_ids("ready")
    words.say_half("go", known(it, "s1", "g1"))
    return {"s1"}


async def _after_the_go(words: Successor, it: Service) -> set[str]:
    words.say("state", known(it, "s1"))
    await words.accepts_ids("ready")
    words.say("go", known(it, "s1", "g1"))
    return {"s1", "g1"}


async def _after_took(words: Successor, it: Service) -> set[str]:
    found = await _after_the_go(words, it)
    await words.accepts_ids("took")
    return found


KILLED = [
    _before_the_state,
    _in_the_state,
    _after_the_state,
    _after_ready,
    _in_the_go,
    _after_the_go,
    _after_took,
]


@pytest.mark.parametrize("step", KILLED, ids=lambda step: step.__name__.strip("_"))
def test_a_predecessor_killed_at_any_step_leaves_one_that_serves_and_knows_what_it_was_told(
    tmp_path: Path, step: Callable[[Successor, Service], Any]
) -> None:
    """A request that waits in the sockets is served; a copy of one that it was told of runs nowhere."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with alone(tmp_path, upstream) as it, successor(it) as words, Caller(it.port) as waits:
            waits.ask("move", b"x", X_Trace_Id="new")
            told = await step(words, it)
            await words.close()
            assert (await waits.answer()).status == 200
            for trace in ("s1", "g1"):
                assert await code(it, trace) == (409 if trace in told else 200)
            ids = [item.headers["x-trace-id"] for item in upstream.seen]
            assert sorted(ids) == sorted({"new", "s1", "g1"} - told)
        upstream.close()

    run(work())


def patched(**values: float) -> tuple[str, str]:
    """The program with other patience."""
    parts = (IncomingHandover, ProcessStateMachine, RecentIds)
    owners = {name: next(one for one in parts if hasattr(one, name)) for name in values}
    sets = "\n".join(f"{owners[name].__name__}.{name} = {value}" for name, value in values.items())
    text = f"""
from runpy import run_module
from larkweir.core.recent_ids import RecentIds
from larkweir.lifecycle.incoming_handover import IncomingHandover
from larkweir.lifecycle.state_machine import ProcessStateMachine
{sets}
run_module("larkweir", run_name="__main__")
"""
    return "-c", text


@pytest.mark.parametrize("shift_ms", [0.0, -3_600_000.0])
def test_a_state_that_comes_late_counts_by_the_clock_of_whoever_says_it(
    tmp_path: Path, shift_ms: float
) -> None:
    """The predecessor hangs until its successor has started without it, says what it knows, and is gone."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with (
            alone(tmp_path, upstream) as it,
            successor(it, patched(STATE_TIMEOUT_S=0.01)) as words,
        ):
            await words.accepts_ids("ready")
            words.say("state", known(it, "s1", shift_ms=shift_ms))
            await words.close()
            assert await code(it, "new") == 200
            assert await code(it, "s1") == 409
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_what_is_open_at_the_predecessor_is_known_for_as_long_as_that_lives(tmp_path: Path) -> None:
    """However much comes to the successor meanwhile: that remembers one request of its own here."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with alone(tmp_path, upstream) as it, successor(it, patched(MAX_IDS=1)) as words:
            words.say("state", known(it))
            await words.accepts_ids("ready")
            words.say("go", known(it, "open", accepts_ids=True))
            await words.accepts_ids("took")
            for trace in ("a", "b", "c"):
                assert await code(it, trace) == 200
                assert await words.accepts_ids("seen") == TakenIds((trace,))
            assert await code(it, "open") == 409
            assert len(upstream.seen) == 3
        upstream.close()

    run(work())


@pytest.mark.parametrize("accepts_ids", [True, False])
def test_what_an_old_process_says_once_the_new_one_has_stopped_waiting_counts(
    tmp_path: Path, accepts_ids: bool
) -> None:
    """It hangs until the new one accepts beside it. The ids of its late "go" are known there from then on, and it is
    told of those that the new one takes, if it knows the word.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, notify=False, handover="off", upgrade="beside") as it:
            path = socket_path({"TMPDIR": str(tmp_path)}, it.data["name"], ("127.0.0.1", it.port))
            assert path is not None
            process = Process(it)
            process.command = patched(UPGRADE_TIMEOUT_MS=1.0)
            listening = socket.create_server(("127.0.0.1", it.port), backlog=64)
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as berth:
                berth.bind(path)
                berth.listen()
                starting = asyncio.ensure_future(process.start(yes=False))
                sock, _ = await asyncio.to_thread(berth.accept)
                await asyncio.to_thread(sock.recv, 4096)
                line = json.dumps({"version": VERSION, "speaks": ["http1"]}).encode() + b"\n"
                socket.send_fds(sock, [line], [listening.fileno()])
            await starting
            try:
                sock.setblocking(False)
                words = await Words.on(sock)
                words.say("state", known(it, "s1"))
                while (await words.word())[0] != "took":
                    pass
                words.say("go", known(it, "s1", "g1", accepts_ids=accepts_ids))
                assert await code(it, "new") == 200
                if accepts_ids:
                    assert await words.accepts_ids("seen") == TakenIds(("new",))
                assert await code(it, "s1") == 409 and await code(it, "g1") == 409
                assert len(upstream.seen) == 1
                await words.close()
            finally:
                listening.close()
                process.kill(signal.SIGKILL)
                await process.process.wait()
        upstream.close()

    run(work())


# ---------------------------------------------------------------- the new one is stopped


def test_a_successor_told_to_stop_before_it_may_accept_takes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with alone(tmp_path, upstream) as it, successor(it) as words, Caller(it.port) as waits:
            waits.ask("move", b"x")
            words.say("state", known(it))
            await words.accepts_ids("ready")
            words.process.terminate()
            assert await words.exit_code() == 0
            assert await words.ended() == b"" and not upstream.seen
        upstream.close()

    run(work())


def test_a_successor_told_to_stop_as_it_takes_over_says_so_and_answers_what_it_has(tmp_path: Path) -> None:
    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with alone(tmp_path, upstream) as it, successor(it) as words, Caller(it.port) as caller:
            caller.ask("move", b"x", "/api?held")
            words.say("state", known(it))
            await words.accepts_ids("ready")
            words.say("go", known(it))
            await words.accepts_ids("took")
            await upstream.arrived.get()
            words.process.terminate()
            await words.accepts_ids("bye")
            held.go.set()
            assert (await caller.answer()).status == 200
            assert await words.exit_code() == 0
        upstream.close()

    run(work())


# ---------------------------------------------------------------- the new one is played here


class Visitor(Words):
    """A new process that has said hello to the one that serves, played here."""

    sockets: list[socket.socket]

    @classmethod
    async def come(cls, it: Service) -> Visitor:
        path = socket_path({"TMPDIR": str(it.folder)}, it.data["name"], ("127.0.0.1", it.port))
        assert path is not None
        found = await asyncio.to_thread(request_sockets, path, ("127.0.0.1", it.port))
        assert not isinstance(found, str), found
        sock, sockets = found
        sock.setblocking(False)
        visitor = await cls.on(sock)
        assert isinstance(visitor, Visitor)
        visitor.sockets = [item for _, item in sockets]
        return visitor

    async def close(self) -> None:
        for sock in self.sockets:
            sock.close()
        await super().close()


async def _told(visitor: Visitor) -> None:
    await visitor.accepts_ids("state")


async def _gone(visitor: Visitor) -> None:
    await visitor.accepts_ids("state")
    visitor.say("ready")
    await visitor.accepts_ids("go")


async def _took(visitor: Visitor) -> None:
    await _gone(visitor)
    visitor.say("took")


async def _nothing(visitor: Visitor) -> None:
    pass


STEPS = [_nothing, _told, _gone, _took]


@pytest.mark.parametrize("step", STEPS, ids=lambda step: step.__name__.strip("_"))
def test_a_new_process_killed_at_any_step_leaves_the_old_one_that_serves(
    tmp_path: Path, step: Callable[[Visitor], Any]
) -> None:
    """What came to the sockets before and after is served, and the next new process is welcome."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with balancer(tmp_path, upstream) as (it, old), Caller(it.port) as kept:
            visitor = await Visitor.come(it)
            await step(visitor)
            async with Caller(it.port) as waits:
                waits.ask("move", b"x")
                await visitor.close()
                assert (await waits.answer()).status == 200
            await old.said("this life goes on")
            kept.ask("move", b"x")
            assert (await kept.answer()).status == 200
            again = await Visitor.come(it)
            await _told(again)
            await again.close()
            assert len(upstream.seen) == 2
        upstream.close()

    run(work())


@pytest.mark.parametrize("step", STEPS[1:], ids=lambda step: step.__name__.strip("_"))
def test_an_old_process_told_to_stop_at_any_step_answers_what_it_has(
    tmp_path: Path, step: Callable[[Visitor], Any]
) -> None:
    """It is not the new one's end: that goes on by itself, with the sockets."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with balancer(tmp_path, upstream, patient=True) as (it, old), Caller(it.port) as out:
            out.ask("slow", b"x", "/api?held", X_Expires_In_Ms=str(LONG_MS))
            await upstream.arrived.get()
            visitor = await Visitor.come(it)
            await step(visitor)
            old.kill(signal.SIGTERM)
            held.go.set()
            assert (await out.answer()).status == 200
            assert await old.ended() == 0
            assert await visitor.ended() == b""  # no word that would end it
            async with Caller(it.port) as waits:  # nobody is refused: the sockets are the new one's
                assert not waits.writer.is_closing()
            await visitor.close()
        upstream.close()

    run(work())


def test_an_old_process_that_has_given_a_new_one_up_has_its_limits_for_itself(tmp_path: Path) -> None:
    """While both lived, each kept to half of the descriptors, which is too few for these callers."""

    async def work() -> None:
        held = Held()
        upstreams = [await FakeUpstream(held).start() for _ in range(4)]  # for a window wide enough
        options = {"notify": False, "handover": "off", "upgrade": "beside", "handover_ready_ms": 100.0}
        async with service(tmp_path, *upstreams, **options) as it:
            it.write(limits={"cores": 1.0, "memory_mb": 64, "sockets": 64})
            process = await Process(it).start()
            try:
                visitor = await Visitor.come(it)
                await visitor.accepts_ids("state")
                await process.said("given up, it was not ready in time")
                callers = [await Caller(it.port).__aenter__() for _ in range(6)]
                for caller in callers:
                    caller.ask("move", b"x", "/api?held")
                await until(lambda: sum(len(one.seen) for one in upstreams) == 6, "all at the upstreams")
                held.go.set()
                for caller in callers:
                    assert (await caller.answer()).status == 200
                    caller.writer.close()
                await visitor.close()
            finally:
                process.kill(signal.SIGKILL)
                await process.process.wait()
        for one in upstreams:
            one.close()

    run(work())


def test_an_old_process_that_is_told_to_stop_right_after_the_switch_drains_beside_the_new_one(
    tmp_path: Path,
) -> None:
    """It stands still meanwhile, and wakes to both "took" and SIGTERM: what it still takes is told of."""

    async def work() -> None:
        held = HeldById()
        upstream = await FakeUpstream(held).start()
        async with balancer(tmp_path, upstream) as (it, old), Caller(it.port) as kept:
            held.go("first")
            kept.ask("move", b"x", X_Trace_Id="first")
            assert (await kept.answer()).status == 200
            visitor = await Visitor.come(it)
            await visitor.accepts_ids("state")
            visitor.say("ready", TakenIds())
            await visitor.accepts_ids("go")
            old.kill(signal.SIGSTOP)
            visitor.say("took")
            await visitor.writer.drain()
            old.kill(signal.SIGTERM)
            kept.ask("move", b"x", X_Trace_Id="late")
            old.kill(signal.SIGCONT)
            assert await visitor.accepts_ids("seen") == TakenIds(("late",))
            held.go("late")
            assert (await kept.answer()).status == 200
            assert await old.ended() == 0
            assert any("upgrade: the new process accepts" in line for line in old.log)
            await visitor.close()
        upstream.close()

    run(work())


def test_a_second_new_process_during_an_upgrade_is_turned_away_and_the_first_goes_on(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with balancer(tmp_path, upstream) as (it, old):
            first = await Visitor.come(it)
            await _told(first)
            with pytest.raises(AssertionError, match="it passes no sockets"):
                await Visitor.come(it)
            first.say("ready")
            await first.accepts_ids("go")
            first.say("took")
            await old.said("upgrade: the new process accepts")
            await first.close()
            assert await code(it, "new") == 200
        upstream.close()

    run(work())


def test_what_ends_between_the_state_and_the_go_is_in_the_go(tmp_path: Path) -> None:
    """An id, a drain with the time of its first word, and the credit with cold upstreams, which is given once."""

    async def work() -> None:
        one, two = await FakeUpstream().start(), await FakeUpstream().start()
        async with balancer(tmp_path, one, two) as (it, _):
            visitor = await Visitor.come(it)
            state = await visitor.accepts_ids("state")
            assert await code(it, "z") == 200
            it.discovery.change(one.entry("u0", lifecycle="leaving"))
            while f"after={it.discovery.generation}" not in await it.discovery.calls.get():
                pass  # until the change was taken
            visitor.say("ready")
            go = await visitor.accepts_ids("go")
            now = go.offset_ms + time.monotonic() * 1000.0
            assert "z" not in dict(state.ids) and dict(go.ids)["z"] <= now
            assert not state.drains and 0.0 < go.drains["u0"] <= now
            assert not state.learned and go.learned["credit"] > 0.0
            await visitor.close()
            again = await Visitor.come(it)
            await again.accepts_ids("state")
            again.say("ready")
            told = await again.accepts_ids("go")
            assert told.learned["credit"] == 0.0  # it was given away before
            assert told.drains == go.drains
            await again.close()
        one.close()
        two.close()

    run(work())


def test_a_drain_that_was_told_to_the_old_life_keeps_the_time_of_its_first_word() -> None:
    """Also where the new life has heard of it itself, by a clock of its own, and hears of it again."""

    async def work() -> None:
        upstream, other = await FakeUpstream().start(), await FakeUpstream().start()
        leaving = upstream.entry("u0", lifecycle="leaving")
        async with running(leaving, other.entry("u1")) as it:
            assert it.node is not None
            node = it.node
            number = node.discovery.number("u0")
            assert number is not None
            drained = node.upstreams.table[number]
            now = node.clock.now_ms()
            assert now - drained.draining_since_ms < 60_000.0 and not drained.drain_expired(
                drained.draining_since_ms
            )
            told = HandoverState(
                offset_ms=node.clock.offset_ms - 1_000.0,
                discovery=node.discovery.address,
                upstream_list={},
                drains={"u0": now - 61_000.0},
                ids=[],
                learned={},
            )
            node.adopt(told)
            assert abs(drained.draining_since_ms - (now - 60_000.0)) < 1.0 and drained.drain_expired(now)
            it.discovery.change(leaving)
            generation = it.discovery.generation
            await until(lambda: node.discovery.generation == generation, "the list")
            assert abs(node.upstreams.table[number].draining_since_ms - (now - 60_000.0)) < 1.0
        upstream.close()
        other.close()

    run(work())


# ---------------------------------------------------------------- both serve


def test_a_copy_of_what_one_life_takes_beside_the_other_runs_at_neither(tmp_path: Path) -> None:
    """After an upgrade: on connections that are the old one's still, and on the new one's; also once the old one has
    ended.
    """

    async def work() -> None:
        held = HeldById()
        upstream = await FakeUpstream(held).start()
        async with (
            balancer(tmp_path, upstream, patient=True) as (it, old),
            Caller(it.port) as kept,
            Caller(it.port) as other,
        ):
            for n, caller in enumerate((kept, other)):
                held.go(f"first{n}")
                caller.ask("move", b"x", X_Trace_Id=f"first{n}")
                assert (await caller.answer()).status == 200
            await another(it)
            await old.said("upgrade: the new process accepts")
            kept.ask("slow", b"x", X_Trace_Id="at-the-old", X_Expires_In_Ms=str(LONG_MS))
            await until(lambda: len(upstream.seen) == 3, "the request")
            assert await code(it, "at-the-old", "slow") == 409
            async with Caller(it.port) as new:
                new.ask("slow", b"x", X_Trace_Id="at-the-new", X_Expires_In_Ms=str(LONG_MS))
                await until(lambda: len(upstream.seen) == 4, "the request")
                other.ask("slow", b"x", X_Trace_Id="at-the-new", X_Expires_In_Ms=str(LONG_MS))
                assert (await other.answer()).status == 409
                held.go("at-the-new")
                assert (await new.answer()).status == 200
            held.go("at-the-old")
            assert (await kept.answer()).status == 200
            old.kill(signal.SIGTERM)
            assert await old.ended() == 0
            assert await code(it, "at-the-old", "slow") == 409
            ids = [item.headers["x-trace-id"] for item in upstream.seen]
            assert ids == ["first0", "first1", "at-the-old", "at-the-new"]
        upstream.close()

    run(work())


def test_a_copy_of_what_a_draining_predecessor_takes_does_not_run_at_its_successor(tmp_path: Path) -> None:
    async def work() -> None:
        held = HeldById()
        upstream = await FakeUpstream(held).start()
        async with service(tmp_path, upstream, accept_ms=LONG_MS) as it:
            it.patient()
            await it.start()
            async with Caller(it.port) as kept:
                held.go("first")
                kept.ask("move", b"x", X_Trace_Id="first")
                assert (await kept.answer()).status == 200
                it.signal(signal.SIGUSR2)
                await it.successor()
                kept.ask("slow", b"x", X_Trace_Id="late", X_Expires_In_Ms=str(LONG_MS))
                await until(lambda: len(upstream.seen) == 2, "the request")
                assert await code(it, "late", "slow") == 409
                held.go("late")
                answer = await kept.answer()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert len(upstream.seen) == 2
        upstream.close()

    run(work())


def test_an_older_successor_is_told_of_no_ids(tmp_path: Path) -> None:
    """It knows no such word, and would take its channel for broken."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with balancer(tmp_path, upstream) as (it, old), Caller(it.port) as kept:
            kept.ask("move", b"x")
            assert (await kept.answer()).status == 200
            visitor = await Visitor.come(it)
            await _took(visitor)
            await old.said("upgrade: the new process accepts")
            kept.ask("move", b"x")
            assert (await kept.answer()).status == 200
            old.kill(signal.SIGKILL)
            assert await visitor.ended() == b""
            await visitor.close()
        upstream.close()

    run(work())


def test_a_successor_is_told_of_ids_in_their_turn_and_tells_of_its_own(tmp_path: Path) -> None:
    """Each before the request goes out; a word of ids from one that was never asked for any says nothing."""

    async def work() -> None:
        held = HeldById()
        upstream = await FakeUpstream(held).start()
        async with balancer(tmp_path, upstream) as (it, _), Caller(it.port) as kept, Caller(it.port) as copy:
            for caller, trace in ((kept, "first"), (copy, "second")):
                held.go(trace)
                caller.ask("move", b"x", X_Trace_Id=trace)
                assert (await caller.answer()).status == 200
            visitor = await Visitor.come(it)
            await visitor.accepts_ids("state")
            visitor.say("ready", TakenIds())
            assert (await visitor.accepts_ids("go")).accepts_ids
            kept.ask("move", b"x", X_Trace_Id="third")
            assert await visitor.accepts_ids("seen") == TakenIds(("third",))
            await upstream.arrived.get()
            visitor.say("seen", TakenIds(("mine",)))
            visitor.say("took")
            held.go("third")
            assert (await kept.answer()).status == 200
            copy.ask("move", b"x", X_Trace_Id="mine")
            assert (await copy.answer()).status == 409
            await visitor.close()
        upstream.close()

    run(work())


def test_a_successor_that_is_slow_to_accept_is_told_of_what_is_taken_beside_it(tmp_path: Path) -> None:
    """Past `SUCCESSOR_ACCEPT_MS` both may accept: what the old one takes then is known to the new one before "took"."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, notify=False, handover="off", upgrade="beside") as it:
            process = Process(it)
            process.command = patched(SUCCESSOR_ACCEPT_MS=1.0)
            await process.start()
            try:
                visitor = await Visitor.come(it)
                await visitor.accepts_ids("state")
                visitor.say("ready", TakenIds())
                await visitor.accepts_ids("go")
                assert await code(it, "beside") == 200  # nobody else accepts
                assert await visitor.accepts_ids("seen") == TakenIds(("beside",))
                visitor.say("seen", TakenIds(("there",)))
                visitor.say("took")
                await process.said("upgrade: the new process accepts")
                await visitor.close()
                await process.said("the new process is lost")
                assert await code(it, "there") == 409
                assert len(upstream.seen) == 1
            finally:
                process.kill(signal.SIGKILL)
                await process.process.wait()
        upstream.close()

    run(work())


@asynccontextmanager
async def played_child(it: Service, folder: Path, process: Process) -> AsyncIterator[Words]:
    """What the old process starts as its successor passes its end of the channel here, and lives until it is told to
    end. To be entered before the old process starts.
    """
    path = folder / "child"
    script = folder / "child.py"
    script.write_text(
        f"""#!{sys.executable}
import os, signal, socket
channel = int(os.environ["LARKWEIR_HANDOVER"].partition(":")[0])
with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
    sock.connect({str(path)!r})
    socket.send_fds(sock, [b"x"], [channel])
os.close(channel)
signal.alarm(300)
signal.pause()
"""
    )
    script.chmod(0o700)
    process.command = (
        "-c",
        f"""
from runpy import run_module
from types import SimpleNamespace
from larkweir.lifecycle import handover
handover.sys = SimpleNamespace(executable={str(script)!r})
run_module("larkweir", run_name="__main__")
""",
    )
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listening:
        listening.bind(str(path))
        listening.listen()
        await process.start()
        process.kill(signal.SIGUSR2)
        sock, _ = await asyncio.wait_for(asyncio.to_thread(listening.accept), PATIENCE_S)
        with sock:
            _, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, 1, 1)
    words = await Words.on(socket.socket(fileno=descriptors[0]))
    yield words
    await words.close()


@asynccontextmanager
async def played_upgrade(it: Service, folder: Path, process: Process) -> AsyncIterator[Words]:
    await process.start()
    visitor = await Visitor.come(it)
    yield visitor
    await visitor.close()


@pytest.mark.parametrize("begin", [played_child, played_upgrade], ids=["handover", "upgrade"])
def test_an_old_life_told_to_stop_before_the_new_one_says_that_it_took_over_tells_of_ids(
    tmp_path: Path, begin: Callable[..., Any]
) -> None:
    """The new one may have accepted, and the old one drains beside it: each is told of what the other still takes."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        options = {"notify": False, "handover": "signal", "upgrade": "beside", "accept_ms": LONG_MS}
        async with service(tmp_path, upstream, **options) as it:
            old = Process(it)
            try:
                async with begin(it, tmp_path, old) as new, Caller(it.port) as kept, Caller(it.port) as copy:
                    for caller in (kept, copy):
                        caller.ask("move", b"x")
                        assert (await caller.answer()).status == 200
                    await new.accepts_ids("state")
                    new.say("ready", TakenIds())
                    await new.accepts_ids("go")
                    old.kill(signal.SIGTERM)
                    while (await it.ask("look", target="/ready"))[0] != 503:
                        pass  # it drains, and takes what comes
                    new.say("seen", TakenIds(("there",)))
                    kept.ask("move", b"x", X_Trace_Id="late")
                    assert (await kept.answer()).status == 200
                    while (word := await new.word())[0] != "seen":
                        assert word == ("give_up", None)
                    assert word[1] == TakenIds(("late",))
                    copy.ask("move", b"x", X_Trace_Id="there")
                    assert (await copy.answer()).status == 409
                    assert len(upstream.seen) == 3
            finally:
                old.kill(signal.SIGKILL)
                await old.process.wait()
        upstream.close()

    run(work())


def test_a_keyed_request_is_repeated_by_the_life_that_began_it(tmp_path: Path) -> None:
    """Its first attempt fails after the handover: the next one comes within its window, from the old life."""

    async def work() -> None:
        held = HeldById()
        upstreams = [await FakeUpstream(held).start() for _ in range(2)]
        async with service(tmp_path, *upstreams) as it:
            rows = SETTINGS["Categories"]
            post = rows[1] | {"MemorySpanMs": LONG_MS, "AimMs": LONG_MS, "HardLimitMs": LONG_MS}
            it.write(settings=SETTINGS | {"Categories": [rows[0], post, rows[2]]})
            await it.start()
            async with Caller(it.port) as out:
                out.ask("post", b"x", X_Trace_Id="out", X_Expires_In_Ms=str(LONG_MS))
                await until(lambda: any(one.seen for one in upstreams), "the request")
                it.signal(signal.SIGUSR2)
                await it.successor()
                held.go("out", status(500))
                assert (await out.answer()).status in (502, 503)
            assert sum(len(one.seen) for one in upstreams) > 1
            assert await it.ended() == 0
        for one in upstreams:
            one.close()

    run(work())


def test_a_class_whose_aim_is_shorter_in_the_new_process_is_served_there(tmp_path: Path) -> None:
    """What the old one took for its usual latency, a guess from its long aim, would have all its requests refused."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with balancer(tmp_path, upstream, patient=True) as (it, old):
            rows = SETTINGS["Categories"]
            slow = rows[2] | {"Name": "slow", "AimMs": 3000, "HardLimitMs": 4000}
            it.write(settings=SETTINGS | {"Categories": [*rows, slow]})
            await another(it)
            await old.said("upgrade: the new process accepts")
            assert (await it.ask("slow", b"x"))[0] == 200
        upstream.close()

    run(work())


def test_a_second_handover_during_one_and_sigterm_to_the_old_life_end_in_one_that_drains(
    tmp_path: Path,
) -> None:
    """SIGUSR2, SIGUSR2 and SIGTERM while the successor stands still: it is ended, and what was taken is answered."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with service(tmp_path, upstream, accept_ms=50) as it:
            it.patient()
            await it.start()
            assert it.process is not None
            async with Caller(it.port) as out:
                out.ask("slow", b"x", "/api?held", X_Expires_In_Ms=str(LONG_MS))
                await upstream.arrived.get()
                it.signal(signal.SIGUSR2)
                child = await child_of(it.process.pid)
                it.pids.append(child)
                os.kill(child, signal.SIGSTOP)
                it.signal(signal.SIGUSR2)
                await it.said("handover: not begun, one is under way")
                it.signal(signal.SIGTERM)
                await until(lambda: not alive(child), "the successor's end")
                held.go.set()
                assert (await out.answer()).status == 200
            assert await it.ended() == 0
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())
