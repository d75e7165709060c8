"""The keeper beside a loop: nothing waits for the disk, a long list is written in parts, and nothing is written that
discovery has not said.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import threading
from pathlib import Path
from random import Random
from typing import Any

import pytest

from larkweir.background.runner import Runner
from larkweir.config.options import Store
from larkweir.config.platform import decode
from larkweir.core.clock import Clock
from larkweir.membership.remembered.evidence import Evidence, EvidenceKind
from larkweir.store.disk import Files, read_files
from larkweir.store.recovery import recover
from larkweir.store.state import StoredState
from larkweir.store.state_store import StateStore, site_id
from standins.peers import PATIENCE_S, entry
from tests.fakes import config_data
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run

CONFIG = decode(json.dumps(config_data([], 1)), {})


class Gated(Files):
    """A disk whose flushes come back when it is let."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.gate = threading.Event()
        self.gate.set()

    def flush(self, number: int) -> None:
        self.gate.wait(30.0)
        super().flush(number)


class Told:
    """Stands for the node."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.names: set[str] = set()
        self.spoke = False
        self.proofs: dict[str, Evidence] = {}

    def is_complete(self) -> bool:
        return self.spoke

    def changed_ids(self) -> set[str]:
        return self.names

    def row(self, name: str) -> dict[str, Any] | None:
        return self.rows.get(name)

    def generation(self) -> int:
        return 3

    def answered_ms(self) -> float:
        return 5.0 if self.spoke else 0.0

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        taken = dict(list(self.proofs.items())[:max_count])
        for name in taken:
            del self.proofs[name]
        return taken

    def drains(self) -> dict[str, float]:
        return {}

    def learned(self) -> dict[str, Any]:
        return {}

    def source(self) -> str:
        return "d:1"

    def tell(self, rows: dict[str, dict[str, Any]]) -> None:
        self.names |= set(rows) | set(self.rows)
        self.rows, self.spoke = rows, True


def kept(folder: Path) -> StoredState:
    return recover(read_files(Files(str(folder))), site_id(CONFIG)).state


class Kept:
    def __init__(self, folder: Path, **options: Any) -> None:
        loop = asyncio.get_running_loop()
        clock = Clock(loop)
        self.said: list[str] = []
        self.files = Gated(str(folder))
        self.state_store = StateStore(
            Store(on=True, path=str(folder), every_ms=10.0, **options),
            CONFIG,
            clock,
            self.said.append,
            self.files,
        )
        self.state_store.EVIDENCE_INTERVAL_MS = 20.0
        self.state_store.COMPACT_INTERVAL_MS = 20.0
        self.told = Told()
        self.runner = Runner(clock, lambda: False, self.said.append, Random(1))
        self.recovered = self.state_store.open()

    def attach(self) -> None:
        self.state_store.attach(self.told, self.runner)


def many(count: int) -> dict[str, dict[str, Any]]:
    return {f"s{n}": entry(f"s{n}", 1 + n % 60_000) for n in range(count)}


def test_a_long_list_is_written_in_parts_and_counts_when_all_of_it_is(tmp_path: Path) -> None:
    async def work() -> None:
        it = Kept(tmp_path)
        it.told.tell(many(5_000))
        it.attach()
        seen: list[int] = []

        def look() -> bool:
            state = kept(tmp_path)
            seen.append(len(state.listed))
            assert state.generation == (3 if len(state.listed) == 5_000 else 0) or len(state.listed) == 5_000
            return state.generation == 3

        await until(look, "the whole list")
        assert seen[0] < 5_000 and seen[-1] == 5_000
        it.told.tell({name: row for name, row in it.told.rows.items() if name != "s7"})
        await until(lambda: len(kept(tmp_path).listed) == 4_999, "one that went")
        await until(lambda: kept(tmp_path).churn.gone > 0.9, "that it went")
        it.state_store.close()

    run(work())


def test_nothing_is_written_of_a_list_before_discovery_speaks(tmp_path: Path) -> None:
    async def work() -> None:
        it = Kept(tmp_path)
        it.told.tell(many(3))
        it.attach()
        await until(lambda: kept(tmp_path).generation == 3, "the list")
        it.state_store.close()
        it = Kept(tmp_path)
        assert it.recovered is not None and len(it.recovered.listing["instances"]) == 3
        it.told.names = {"s0", "s1", "s2"}  # nothing is held yet
        it.attach()
        await asyncio.sleep(0.1)
        it.state_store.close()
        assert len(kept(tmp_path).listed) == 3

    run(work())


def test_a_disk_that_is_slow_holds_nothing_up_and_what_was_meant_is_written_in_the_end(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        it = Kept(tmp_path)
        it.attach()
        it.files.gate.clear()
        it.told.tell(many(500))
        order: list[str] = []
        it.state_store.began(b"held", lambda: order.append("sent"))
        for _ in range(20):  # the loop goes round meanwhile
            await asyncio.sleep(0.01)
            order.append("turn")
        assert "sent" not in order  # what is promised before the send is waited for, and that alone
        it.files.gate.set()
        await until(lambda: order[-1] == "sent" or "sent" in order, "the send")
        await until(lambda: len(kept(tmp_path).listed) == 500, "the list")
        assert "held" in kept(tmp_path).open
        it.state_store.close()

    run(work())


def test_evidence_is_kept_of_those_that_are_listed(tmp_path: Path) -> None:
    async def work() -> None:
        it = Kept(tmp_path)
        it.told.tell(many(700))
        it.attach()
        await until(lambda: kept(tmp_path).generation == 3, "the list")
        it.told.proofs = {f"s{n}": Evidence(0.0, 9.0 + n, EvidenceKind.ANSWERED) for n in range(900)}
        await until(lambda: len(kept(tmp_path).served) == 700, "what was proved")
        assert kept(tmp_path).served["s3"] == (12.0, EvidenceKind.ANSWERED)
        assert kept(tmp_path).answered_ms == 5.0
        it.state_store.close()

    run(work())


@pytest.mark.parametrize("asked", [True, False])
def test_a_log_that_has_grown_is_replaced_when_the_scheduler_comes_to_it_or_at_twice_its_length(
    tmp_path: Path, asked: bool
) -> None:
    async def work() -> None:
        it = Kept(tmp_path, most_mb=0.002)
        it.attach()
        if not asked:
            it.runner.cancel("store.compact")
        writer = it.state_store._writer
        assert writer is not None
        async with asyncio.timeout(PATIENCE_S):
            count = 0
            while not writer.compactions:
                count += 1
                it.state_store.began(f"t{count}".encode(), lambda: None)
                await asyncio.sleep(0.002)
        await until(lambda: len(kept(tmp_path).open) == count, "all that was begun")
        it.state_store.close()

    run(work())


def test_a_keyed_request_is_remembered_as_long_as_its_servers_drop_repeats(tmp_path: Path) -> None:
    async def work() -> None:
        it = Kept(tmp_path)
        it.attach()
        done: list[int] = []
        it.state_store.began(b"keyed", lambda: done.append(1), memory_ms=90_000.0)
        it.state_store.began(b"unsafe", lambda: done.append(2))
        await until(lambda: len(done) == 2, "both kept")
        found = kept(tmp_path).open
        assert found["keyed"].span_ms == 90_000.0 and found["unsafe"].span_ms == 16_000.0
        it.state_store.close()

    run(work())


def test_a_folder_that_goes_while_it_is_used_is_said_once_and_done_without(tmp_path: Path) -> None:
    async def work() -> None:
        it = Kept(tmp_path / "store", most_mb=0.002)
        it.attach()
        await until(lambda: (tmp_path / "store" / "1.log").exists(), "the log, its last file")
        shutil.rmtree(tmp_path / "store")
        done: list[int] = []
        async with asyncio.timeout(PATIENCE_S):
            while not any("nothing is kept" in line for line in it.said):
                it.state_store.began(f"t{len(done)}".encode(), lambda: done.append(1))
                await asyncio.sleep(0.002)
        count = len(done)
        it.state_store.began(b"after", lambda: done.append(1))
        assert len(done) == count + 1  # sent at once: nothing is promised any more
        assert sum("nothing is kept" in line for line in it.said) == 1
        it.state_store.close()

    run(work())


class Moving(Files):
    """Beside a balancer that begins a generation between the list of names and the reads, so many times."""

    def __init__(self, folder: str, times: int) -> None:
        super().__init__(folder)
        self.times = times

    def names(self) -> list[str]:
        found = super().names()
        if self.times:
            self.times -= 1
            old = int(found[0].split(".")[0])
            for end in ("snap", "log"):
                (Path(self.folder) / f"{old}.{end}").rename(Path(self.folder) / f"{old + 1}.{end}")
        return found


def test_a_store_that_is_written_meanwhile_is_read_as_it_stood_at_one_time(tmp_path: Path) -> None:
    for end in ("snap", "log"):
        (tmp_path / f"7.{end}").write_bytes(end.encode())
    assert read_files(Moving(str(tmp_path), 3)) == {"10.log": b"log", "10.snap": b"snap"}
    with pytest.raises(OSError):
        read_files(Moving(str(tmp_path), 100))
