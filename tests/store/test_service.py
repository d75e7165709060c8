"""The store under real processes: SIGKILL at any moment, a second process, a disk that fails, a discovery that is
down.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import pytest

from larkweir.config.options import Operator, Store
from larkweir.config.platform import decode
from larkweir.store.disk import Disk, Files, read_files
from larkweir.store.records import Record, RecordKind
from larkweir.store.recovery import recover
from larkweir.store.state import StoredState
from larkweir.store.state_store import site_id
from standins.peers import PATIENCE_S, Caller, FakeUpstream, Incoming, Talk, ok
from tests.lifecycle.service import Service, service, until
from tests.upstreams.test_attempts import run

ROOT = Path(__file__).parents[2]


def write_operator(it: Service, **more: Any) -> None:
    folder = it.folder / "store"
    rows = {"on": True, "path": str(folder), "every_ms": 20.0} | more
    text = "\n".join(
        f"{key} = {str(value).lower() if isinstance(value, bool) else repr(value)}"
        for key, value in rows.items()
    )
    it.operator_path.write_text('[lifecycle]\nnotify = true\nreload = "whole"\n[store]\n' + text + "\n")


async def again(it: Service) -> None:
    """Killed outright, and started again."""
    assert it.process is not None
    with suppress(ProcessLookupError):  # it may be dead already
        it.process.kill()
    await it.process.wait()
    before = len(it.manager.words.all)
    await it.start(ready=False)
    await it.manager.words.until("READY", after=before)


async def kept(it: Service) -> None:
    """Until the store holds what discovery has by now, drains too: its promise, `every_ms`, binds no busy machine."""
    whole = it.discovery.whole()
    listed = {row["instanceId"]: row["lifecycle"] for row in whole["instances"]}
    leaving = {name for name, lifecycle in listed.items() if lifecycle == "leaving"}
    site = site_id(decode(json.dumps(it.data), {}))

    def there() -> bool:
        try:
            state = recover(read_files(Files(str(it.folder / "store"))), site).state
        except OSError:
            return False
        rows = {name: row["lifecycle"] for name, row in state.listed.items()}
        return (rows, state.generation, set(state.drains)) == (listed, whole["generation"], leaving)

    await until(there, "the list in the store")


async def status_of(it: Service, trace: str, cls: str = "move", target: str = "/api") -> int:
    """0 where the connection ended without an answer."""
    try:
        async with Caller(it.port) as caller:
            caller.ask(cls, b"x", target, X_Trace_Id=trace)
            return (await caller.answer()).status
    except (OSError, AssertionError, asyncio.IncompleteReadError):
        return 0


def test_sigkill_under_load_runs_nothing_unsafe_twice(tmp_path: Path) -> None:
    """A network that gives copies: each id comes again after the restart, whatever became of it before."""

    async def work() -> None:
        rng = Random(7)

        async def slowly(request: Incoming, talk: Talk) -> None:
            await asyncio.sleep(0.005)
            await talk.send(ok())

        upstreams = [await FakeUpstream(slowly).start() for _ in range(3)]
        async with service(tmp_path, *upstreams) as it, asyncio.timeout(3 * PATIENCE_S):
            write_operator(it)
            await it.start()
            answers: Counter[int] = Counter()
            for cycle in range(5):
                ids = [f"c{cycle}-{n}" for n in range(40)]

                served = answers[200]

                async def ask(trace: str) -> None:
                    await asyncio.sleep(rng.random() * 0.15)
                    answers[await status_of(it, trace, rng.choice(["move", "post"]))] += 1

                load = asyncio.gather(*(ask(trace) for trace in ids))
                enough = served + rng.randrange(4, 30)
                await until(lambda enough=enough: answers[200] >= enough, "answers before the kill")
                assert it.process is not None
                it.process.kill()
                await load
                await again(it)
                for trace in ids:
                    answers[await status_of(it, trace)] += 1
            runs = Counter(
                request.headers["x-trace-id"] for upstream in upstreams for request in upstream.seen
            )
            assert max(runs.values()) == 1, [trace for trace, count in runs.items() if count > 1]
            assert answers[200] > 50 and answers[409] > 5  # copies were refused, and the others served
        for upstream in upstreams:
            upstream.close()

    run(work())


def test_a_restart_while_discovery_is_down_serves_from_the_list_that_was_kept(tmp_path: Path) -> None:
    async def work() -> None:
        upstreams = [await FakeUpstream().start() for _ in range(2)]
        async with service(tmp_path) as it, asyncio.timeout(2 * PATIENCE_S):
            write_operator(it)
            it.write(known={})
            it.discovery.change(*(upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)))
            await it.start()
            assert (await it.ask())[0] == 200
            await kept(it)
            it.discovery.stop()
            await again(it)
            assert [(await it.ask())[0] for _ in range(10)] == [200] * 10
        for upstream in upstreams:
            upstream.close()

    run(work())


def test_a_drained_upstream_gets_nothing_new_after_a_crash_while_discovery_is_down(tmp_path: Path) -> None:
    async def work() -> None:
        upstreams = [await FakeUpstream().start() for _ in range(2)]
        rows = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        async with service(tmp_path, *upstreams) as it, asyncio.timeout(2 * PATIENCE_S):
            write_operator(it)
            await it.start()
            it.discovery.change(rows[0] | {"lifecycle": "leaving"})
            await kept(it)
            it.discovery.stop()
            before = len(upstreams[0].seen)
            await again(it)  # the platform file's `known` still calls it active
            await asyncio.sleep(0.6)
            assert [(await it.ask())[0] for _ in range(20)] == [200] * 20
            assert len(upstreams[0].seen) == before
        for upstream in upstreams:
            upstream.close()

    run(work())


def test_a_store_that_another_process_has_is_said_once_and_done_without(tmp_path: Path) -> None:
    async def work() -> None:
        import fcntl

        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it, asyncio.timeout(2 * PATIENCE_S):
            write_operator(it)
            folder = it.folder / "store"
            folder.mkdir(mode=0o700)
            lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(lock, fcntl.LOCK_EX)
            await it.start()
            assert (await it.ask("move", b"x"))[0] == 200
            await it.said("another process has it")
            os.close(lock)
            await it.said("free again")
            assert (await it.ask("move", b"x"))[0] == 200
            assert sum("another process" in line for line in it.log) == 1
            await until(lambda: any(name.endswith(".snap") for name in os.listdir(folder)), "a snapshot")
        upstream.close()

    run(work())


@pytest.mark.parametrize("what", ["a file in place of the folder", "a folder that can't be written"])
def test_a_folder_that_is_no_good_is_said_once_and_done_without(tmp_path: Path, what: str) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it, asyncio.timeout(2 * PATIENCE_S):
            path = it.folder / "store"
            if what.startswith("a file"):
                path.write_text("")
            else:
                path = Path("/proc/larkweir-store")
            write_operator(it, path=str(path))
            await it.start()
            assert (await it.ask("move", b"x"))[0] == 200
            await it.said("store: ")
            assert sum("store:" in line for line in it.log) == 1
        upstream.close()

    run(work())


def test_sigterm_writes_what_waits_and_ends_in_good_order(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it, asyncio.timeout(2 * PATIENCE_S):
            write_operator(it, most_mb=0.002)  # compactions all the time
            await it.start()
            for n in range(120):
                assert await status_of(it, f"t{n}") == 200
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0
            names = os.listdir(it.folder / "store")
            assert max(int(name.split(".")[0]) for name in names if name.endswith(".snap")) > 2
            assert len([name for name in names if name.endswith(".snap")]) <= 2  # the older ones are gone
        upstream.close()

    run(work())


def test_what_is_off_is_not_imported() -> None:
    code = "import sys, larkweir.lifecycle.daemon; print([m for m in sys.modules if m.startswith('larkweir.store')])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_store_without_a_path_is_a_fault() -> None:
    assert (
        "path" in Store(on=True).faults() and not Store(on=True, path="/x").faults() and not Store().faults()
    )
    assert Operator().store.on is False


def larkweir(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "larkweir", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_staff_can_look_at_a_store_and_make_it_small(tmp_path: Path) -> None:
    folder = str(tmp_path / "store")
    disk = Disk(Files(folder), b"sitesite")
    disk.open()
    disk.begin_generation(None, StoredState())
    now = time.time() * 1000.0
    row = {"instanceId": "u1", "hostPort": "10.0.0.1:80", "lifecycle": "leaving"}
    records = [
        Record(RecordKind.LISTED, row),
        Record(RecordKind.DRAIN, ["u1", now]),
        Record(RecordKind.BEGAN, ["t1", now, 60_000.0]),
    ]
    disk.append(records, True)
    done = larkweir("state", "compact", folder)
    assert done.returncode == 2 and "another process" in done.stderr
    disk.close()
    done = larkweir("state", "show", folder)
    assert done.returncode == 0 and "listed: 1" in done.stdout and "open or late: 1" in done.stdout
    told = json.loads(larkweir("state", "export", folder).stdout)
    assert told["drains"] == {"u1": now} and told["ids"][0][0] == "t1"
    assert larkweir("state", "compact", folder).returncode == 0
    assert larkweir("state", "verify", folder).returncode == 0
    assert json.loads(larkweir("state", "export", folder).stdout)["drains"] == {"u1": now}
    (log,) = (tmp_path / "store").glob("2.log")
    log.write_bytes(log.read_bytes() + b"torn")
    done = larkweir("state", "verify", folder)
    assert done.returncode == 1 and "4 bytes behind its last whole record" in done.stdout
    assert larkweir("state", "show", str(tmp_path / "none")).returncode == 2
