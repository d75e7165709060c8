"""Handover between real processes: two lives, one service, no connection refused and nothing run twice."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.manager import ROOT
from standins.peers import PATIENCE_S, Caller, FakeUpstream, Incoming, Talk, ok
from tests.lifecycle.service import LONG_MS, Service, alive, service, until
from tests.upstreams.test_attempts import run


class Held:
    """An upstream's behaviour: requests to `/api?held` wait until told to go on."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def __call__(self, request: Incoming, talk: Talk) -> None:
        if request.target == "/api?held":
            await self.go.wait()
        await talk.send(ok(request.headers["x-trace-id"].encode()))


class Steady:
    """Callers that ask without a pause, each request on a new connection: none may be refused."""

    def __init__(self, it: Service) -> None:
        self._it = it
        self.statuses: list[int] = []
        self.faults: list[str] = []
        self._stop = False
        self._tasks = [asyncio.ensure_future(self._go()) for _ in range(4)]

    async def _go(self) -> None:
        while not self._stop:
            try:
                self.statuses.append((await self._it.ask())[0])
            except (OSError, AssertionError) as problem:
                self.faults.append(repr(problem))
            await asyncio.sleep(0.002)

    async def end(self) -> None:
        self._stop = True
        await asyncio.gather(*self._tasks)
        assert not self.faults
        assert set(self.statuses) == {200}


def test_a_successor_takes_over_without_a_refused_connection(tmp_path: Path) -> None:
    """Guards the whole path: what is out is answered by the life that took it, what is new by the successor,
    and nothing in between is refused.
    """

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with service(tmp_path, upstream) as it:
            it.patient()
            await it.start()
            steady = Steady(it)
            async with Caller(it.port) as out, Caller(it.port) as kept:
                out.ask("slow", b"x", "/api?held", X_Expires_In_Ms=str(LONG_MS))
                kept.ask()
                assert (await kept.answer()).status == 200
                it.signal(signal.SIGUSR2)
                pid = await it.successor()
                assert pid != it.process.pid and alive(pid)
                count = len(steady.statuses)
                await until(lambda: len(steady.statuses) > count + 20, "answers from the successor")
                assert it.process.returncode is None  # it still owes an answer
                held.go.set()
                answer = await out.answer()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await it.ended() == 0
            await steady.end()
            it.signal(signal.SIGTERM, pid)
            await until(lambda: not alive(pid), "the successor's end")
        upstream.close()
        moves = [item for item in upstream.seen if item.headers["x-qos"] == "slow"]
        assert len(moves) == 1

    run(work())


def test_a_handover_during_a_handover_is_one_handover(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            await it.start()
            it.signal(signal.SIGUSR2)
            child = await child_of(it.process.pid)
            os.kill(child, signal.SIGSTOP)  # the first is under way for as long as it takes
            it.signal(signal.SIGUSR2)
            await it.said("handover: not begun, one is under way")
            it.signal(signal.SIGUSR2)
            await it.said("handover: not begun, one is under way", times=2)
            os.kill(child, signal.SIGCONT)
            first = await it.successor()
            assert await it.ended() == 0
            told = len(it.manager.words.all)
            it.signal(signal.SIGUSR2, first)  # the successor hands over like any life
            second = await it.successor(after=told)
            assert second not in (first, it.process.pid)
            await until(lambda: not alive(first), "the end of the second life")
            assert (await it.ask())[0] == 200
            it.signal(signal.SIGTERM, second)
            await until(lambda: not alive(second), "the end")
        upstream.close()

    run(work())


def test_a_successor_that_exits_before_it_is_ready_changes_nothing(tmp_path: Path) -> None:
    """Guards the service against a configuration that no life can start from."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            await it.start()
            steady = Steady(it)
            it.write(listen="nowhere")
            it.signal(signal.SIGUSR2)
            await it.said("handover: failed")
            assert any("listen" in line for line in it.log)  # the successor's own line, in the same log
            it.write(listen=f"127.0.0.1:{it.port}")
            it.signal(signal.SIGUSR2)
            pid = await it.successor()
            assert await it.ended() == 0
            await steady.end()
            it.signal(signal.SIGTERM, pid)
            await until(lambda: not alive(pid), "the end")
        upstream.close()

    run(work())


def begun(pid: str) -> bool:
    """Whether a child runs the program, and not its parent's between fork and exec."""
    try:
        return b"LARKWEIR_HANDOVER=" in Path(f"/proc/{pid}/environ").read_bytes()
    except OSError:
        return False


async def child_of(pid: int) -> int:
    """The id of a process's only child, once it runs: one that is stopped before that holds up whoever forked it."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            texts = [item.read_text() for item in Path(f"/proc/{pid}/task").glob("*/children")]
            found = " ".join(texts).split()
            if found and begun(found[0]):
                return int(found[0])
            await asyncio.sleep(0.002)


def test_a_successor_that_hangs_before_it_is_ready_is_given_up(tmp_path: Path) -> None:
    """It is stopped, so it neither exits nor gets ready; later it wakes, and must not serve."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, handover_ready_ms=400) as it:
            await it.start()
            steady = Steady(it)
            it.signal(signal.SIGUSR2)
            child = await child_of(it.process.pid)
            it.pids.append(child)
            os.kill(child, signal.SIGSTOP)
            await it.said("handover: given up, it was not ready in time")
            await until(lambda: not alive(child), "the end of the one that hung")
            await steady.end()
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0
        upstream.close()

    run(work())


def test_a_predecessor_killed_in_the_middle_leaves_a_successor_that_serves(tmp_path: Path) -> None:
    """Killed while the successor still comes up: it holds the sockets, and takes over by itself."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            await it.start()
            it.signal(signal.SIGUSR2)
            child = await child_of(it.process.pid)
            it.pids.append(child)
            it.signal(signal.SIGKILL)
            await it.ended()
            assert (await it.ask())[0] == 200  # waits in the sockets until it accepts
            it.signal(signal.SIGTERM, child)
            await until(lambda: not alive(child), "the end")
        upstream.close()

    run(work())


def test_sigterm_to_both_at_once_ends_both_and_owes_nothing(tmp_path: Path) -> None:
    """In the middle of a handover, and just after one: what was taken is answered, and both end."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        for after in (False, True):
            held.go.clear()
            async with service(tmp_path, upstream) as it:
                it.patient()
                await it.start()
                async with Caller(it.port) as out:
                    out.ask("slow", b"x", "/api?held", X_Expires_In_Ms=str(LONG_MS))
                    await upstream.arrived.get()
                    it.signal(signal.SIGUSR2)
                    child = await it.successor() if after else await child_of(it.process.pid)
                    it.pids.append(child)
                    it.signal(signal.SIGTERM)
                    it.signal(signal.SIGTERM, child)
                    await until(lambda pid=child: not alive(pid), "the successor's end")
                    assert it.process.returncode is None
                    held.go.set()
                    assert (await out.answer()).status == 200
                assert await it.ended() == 0
        upstream.close()

    run(work())


def test_a_successor_that_dies_while_the_predecessor_drains_is_replaced_by_it(tmp_path: Path) -> None:
    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with service(tmp_path, upstream) as it:
            it.patient()
            await it.start()
            async with Caller(it.port) as out:
                out.ask("slow", b"x", "/api?held", X_Expires_In_Ms=str(LONG_MS))
                await upstream.arrived.get()
                it.signal(signal.SIGUSR2)
                child = await it.successor()
                told = len(it.manager.words.all)
                os.kill(child, signal.SIGKILL)
                await it.said("this life takes over again")
                await it.manager.words.until("MAINPID", str(it.process.pid), after=told)
                assert (await it.ask())[0] == 200
                held.go.set()
                assert (await out.answer()).status == 200
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0
        upstream.close()

    run(work())


def test_both_lives_keep_drains_ids_and_the_list(tmp_path: Path) -> None:
    """Guards rules 2 and 3 over a handover: a drain that only the predecessor was told of, with discovery
    silent from then on, binds the successor; and a copy of a request that it served runs nowhere.
    """

    async def work() -> None:
        one, two = await FakeUpstream().start(), await FakeUpstream().start()
        async with service(tmp_path, one, two) as it:
            await it.start()
            async with Caller(it.port) as caller:
                caller.ask("move", b"x", X_Trace_Id="aa55")
                assert (await caller.answer()).status == 200
            it.discovery.change(one.entry("u0", lifecycle="leaving"))
            while "after=2" not in await it.discovery.calls.get():
                pass  # until the change was taken
            it.discovery.stop()
            seen = len(one.seen)
            it.signal(signal.SIGUSR2)
            child = await it.successor()
            assert await it.ended() == 0
            assert (await it.ask("move", b"x", X_Trace_Id="aa55"))[0] == 409
            for _ in range(30):
                assert (await it.ask())[0] == 200
            assert len(one.seen) == seen
            it.signal(signal.SIGTERM, child)
            await until(lambda: not alive(child), "the end")
        one.close()
        two.close()

    run(work())


def test_without_the_switch_sigusr2_is_one_line(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, handover="off") as it:
            await it.start()
            it.signal(signal.SIGUSR2)
            it.signal(signal.SIGUSR1)
            await it.said("handover: not switched on")
            assert (await it.ask())[0] == 200
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0
        upstream.close()

    run(work())


def test_a_key_that_needs_a_successor_starts_one_where_the_operator_says_so(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, handover="reload") as it:
            await it.start()
            it.write(name="n9")
            it.signal(signal.SIGHUP)
            child = await it.successor()
            assert await it.ended() == 0
            told: Any = len(it.manager.words.all)
            it.signal(signal.SIGUSR1, child)
            it.signal(signal.SIGUSR2, child)
            second = await it.successor(after=told)
            await it.said("larkweir n9: handover: the successor has taken over")
            it.signal(signal.SIGTERM, second)
            await until(lambda: not alive(second), "the end")
        upstream.close()

    run(work())


@pytest.mark.parametrize("late", [0.0, 0.05])
def test_a_successor_that_is_ready_just_after_it_was_given_up_never_accepts(
    tmp_path: Path, late: float
) -> None:
    """It is stopped until the predecessor's patience is about to end, and woken just then: either it is taken
    or it is given up, never both, and every request has its answer.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, handover_ready_ms=500) as it:
            await it.start()
            steady = Steady(it)
            it.signal(signal.SIGUSR2)
            child = await child_of(it.process.pid)
            it.pids.append(child)
            os.kill(child, signal.SIGSTOP)
            if late:
                await it.said("handover: given up")
            else:
                await asyncio.sleep(0.45)
            if alive(child):
                os.kill(child, signal.SIGCONT)
            await until(
                lambda: any("given up" in line or "has taken over" in line for line in it.log), "a decision"
            )
            taken = any("has taken over" in line for line in it.log)
            await steady.end()
            main = child if taken else it.process.pid
            assert not taken or not late
            it.signal(signal.SIGTERM, main)
            await until(lambda: not alive(main), "the end")
        upstream.close()

    run(work())


def test_a_predecessor_killed_before_it_says_a_word_leaves_a_successor_that_serves(tmp_path: Path) -> None:
    """The channel is at its end when the successor starts: nobody will ever tell it to go."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            listening = socket.create_server(("127.0.0.1", it.port))
            ours, theirs = socket.socketpair()
            ours.close()
            for item in (listening, theirs):
                item.set_inheritable(True)
            env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "LARKWEIR_"))}
            env["GW_CONFIG"] = str(it.config_path)
            env["LARKWEIR_HANDOVER"] = f"{theirs.fileno()}:{listening.fileno()}=http1"
            child = subprocess.Popen(
                [sys.executable, "-m", "larkweir"],
                env=env,
                cwd=ROOT,
                pass_fds=(theirs.fileno(), listening.fileno()),
            )
            listening.close()
            theirs.close()
            try:
                assert (await it.ask())[0] == 200
                child.terminate()
                assert await asyncio.to_thread(child.wait, PATIENCE_S) == 0
            finally:
                child.kill()
        upstream.close()

    run(work())
