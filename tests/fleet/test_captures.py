"""Captures as a part of a balancer: the files and what they may not say, three tiers of real processes under uneven
load, nothing when off."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from larkweir.cli.check import check
from larkweir.config.operator import decode
from larkweir.config.options import Operator, changed
from standins.hops import Hops
from standins.manager import ROOT
from standins.peers import FakeUpstream
from standins.ports import free_port
from tests.fleet.services import platform, shows
from tests.lifecycle.service import service, until
from tests.upstreams.test_attempts import run

FAULTS = [
    ("on = true", "captures.path", "from the root of the disk"),
    ("after = 0.01\nrecords_per_s = 10.0", "captures.records_per_s", "leaves 0.1 for the smaller part"),
    ("bytes_per_s = 9000.0", "captures.bytes_per_s", "4096 is the least"),
    ("hold_ms = 1.0", "captures.hold_ms", "out of bounds"),
    ("ring_bytes = 1", "captures.ring_bytes", "out of bounds"),
    ("record_per_s = 1.0", "captures.record_per_s", "did you mean 'records_per_s'"),
]


@pytest.mark.parametrize(("text", "key", "words"), FAULTS)
def test_a_fault_of_the_table_names_key_and_what_would_do(text: str, key: str, words: str) -> None:
    _, faults = decode(f"[captures]\n{text}\n")
    assert [fault for fault in faults if fault.startswith(key)] and words in " ".join(faults)


@pytest.mark.parametrize("allowed", [True, False])
def test_check_says_where_the_platform_forbids_them(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], allowed: bool
) -> None:
    operator, config = tmp_path / "o.toml", tmp_path / "c.json"
    operator.write_text(f'[captures]\non = true\npath = "{tmp_path}/x"\n')
    config.write_text(platform(limits_of_policy={"Peers": allowed}))
    assert check([str(operator), str(config)]) == (0 if allowed else 2)
    assert ("captures.on: the platform's settings forbid" in capsys.readouterr().out) is not allowed


def test_nothing_of_it_is_imported_when_it_is_off_nor_of_peers_when_it_is_on() -> None:
    code = "import sys, larkweir.lifecycle.daemon, larkweir.cli.check, larkweir.budget.part"
    code += ", larkweir.coordination.owners"
    code += "; print([name for name in sys.modules if 'captures' in name or 'thresholds' in name])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    code = "import sys, larkweir.coordination.captures.part"
    code += (
        "; print([name for name in sys.modules if 'peers' in name or 'owners' in name or 'duties' in name])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    assert not Operator().captures.on and not changed(Operator(), decode("[captures]\non = false\n")[0])


ALL = {"rest": 1.0, "records_per_s": 2000.0, "bytes_per_s": 4_000_000.0}


def test_a_balancer_alone_writes_each_request_with_its_attempts_and_weight(tmp_path: Path) -> None:
    """No budgets, no peers: its own records. SIGUSR2: the successor goes on in the same file, and the lines of both
    stay within one bound; SIGTERM: what waits is written. A reload changes what is slow."""

    async def play() -> None:
        async with service(tmp_path, await FakeUpstream().start()) as it:
            path = tmp_path / "captures.jsonl"
            control = f"127.0.0.1:{free_port()}"
            it.write(control=control)
            table = f'[captures]\non = true\npath = "{path}"\nrest = 1.0\n'
            with it.operator_path.open("a") as file:
                file.write(table)
            await it.start()
            for n in range(20):
                assert (await it.ask(X_Trace_Id=f"a{n}"))[0] == 200
            await until(lambda: path.exists() and path.read_bytes().count(b"\n") == 20, "20 lines")
            lines = [json.loads(line) for line in path.read_text().splitlines()]
            assert [line["trace"] for line in lines] == [f"a{n}" for n in range(20)]
            assert {(line["why"], line["weight"], line["th"]) for line in lines} == {("drawn", 1.0, "0")}
            record = lines[0]["record"]
            assert record["status"] == 200 and record["class"] == "look" and record["attempts"][0][3] == "ok"

            it.signal(signal.SIGUSR2)
            await it.successor()
            assert (await it.ask(X_Trace_Id="b"))[0] == 200
            await until(lambda: b'"trace":"b"' in path.read_bytes(), "the successor's line")

            it.write_operator()
            with it.operator_path.open("a") as file:
                file.write(table.replace("rest = 1.0", "rest = 0.000001") + "slow_ms = 0.001\n")
            it.signal(signal.SIGHUP, it.pids[-1])
            await it.said("reload: ")
            assert (await it.ask(X_Trace_Id="c"))[0] == 200
            it.signal(signal.SIGUSR2, it.pids[-1])
            await it.successor(after=await it.manager.words.until("MAINPID") + 1)
            assert (await it.ask(X_Trace_Id="d"))[0] == 200
            await until(lambda: b'"trace":"d"' in path.read_bytes(), "its line")
            lines = [json.loads(line) for line in path.read_text().splitlines()[-2:]]
            assert [(line["trace"], line["why"], line["weight"]) for line in lines] == [
                ("c", "drawn", 1.0),  # the rate counts in a successor
                ("d", "slow", 0.0),
            ]
            it.signal(signal.SIGTERM, it.pids[-1])
            assert await it.ended() == 0

    run(play())


def test_no_window_holds_more_over_a_handover_under_load(tmp_path: Path) -> None:
    """More is asked than may be written, and a successor takes over meanwhile: one life writes at a time, and the next
    begins with nothing of a second's volume to spare. What waits at the end is told, and holds nobody up."""

    async def play() -> None:
        async with service(tmp_path, await FakeUpstream().start()) as it:
            path = tmp_path / "captures.jsonl"
            with it.operator_path.open("a") as file:
                file.write(f'[captures]\non = true\npath = "{path}"\nrest = 1.0\nrecords_per_s = 40.0\n')
            await it.start()

            async def asks(name: str, count: int) -> None:
                for n in range(count):
                    assert (await it.ask(X_Trace_Id=f"{name}{n}"))[0] == 200

            await asks("a", 150)
            it.signal(signal.SIGUSR2)
            await asks("b", 50)
            await it.successor()
            await asks("c", 150)
            await until(lambda: b'"trace":"c' in path.read_bytes(), "the successor's lines")
            it.signal(signal.SIGTERM, it.pids[-1])
            assert await it.ended() == 0
            lines = [json.loads(line) for line in path.read_text().splitlines()]
            times = [line["mono_ms"] for line in lines]
            # three quarters of the volume are for what is drawn
            most = max(sum(at - 999.9 <= other <= at for other in times) for at in times)
            assert 15 <= most <= 30 and {line["trace"][0] for line in lines} >= {"a", "c"}, most

    run(play())


def test_three_tiers_keep_whole_traces_whose_lines_tell_their_weight() -> None:
    """Six processes with uneven load: services hand the verdict on and back, so each trace that is drawn is whole, at
    one rate at all its hops; the weights of the first hops' lines are the requests."""

    async def play() -> None:
        async with Hops(2, 1, {"rest": 0.5, "records_per_s": 400.0, "bytes_per_s": 800_000.0}) as rig:
            await rig.load(2.0, 60.0)
            await asyncio.sleep(0.5)  # lines are written every 50 ms
            whole, drawn = rig.whole()
            assert drawn > 20 and whole == drawn, (whole, drawn, len(rig.asked))
            first = [line for name in rig.names[:2] for line in rig.lines(name) if line.weight]
            assert {line.weight for line in first} == {2.0}
            rates = {}
            for name in rig.names:
                for line in rig.lines(name):
                    rates.setdefault(line.client, set()).add(line.weight)
            assert all(len(found) == 1 for found in rates.values())
            assert rig.passed(400.0, 800_000.0) == 0

    run(play())


def test_where_nothing_comes_back_a_hop_at_a_lower_rate_keeps_a_subset() -> None:
    """The second tier has little room, lowers the verdict, and the services tell nobody: what it and those below it
    have drawn is a part of what the first has, and each line says by which threshold it was."""

    async def play() -> None:
        little = {"records_per_s": 8.0, "bytes_per_s": 20_000.0}
        much = {"rest": 1.0, "records_per_s": 400.0, "bytes_per_s": 800_000.0}
        async with Hops(1, 3, much, by_tier={1: little}, gives_back=False) as rig:
            await rig.load(3.0, 80.0)
            await asyncio.sleep(0.5)
            drawn = [{line.client: line for line in rig.lines(name) if line.weight} for name in rig.names]
            assert len(drawn[0]) > 4 * len(drawn[1]) > 0
            assert drawn[1].keys() <= drawn[2].keys() < drawn[0].keys()
            assert all(drawn[0][client].weight <= drawn[2][client].weight for client in drawn[2])
            assert max(line.weight for line in drawn[2].values()) > 2.0
            (status,) = (await rig.shows(["b1"], "captures_table", bool, "its status")).values()
            assert status == "0.0" and rig.passed(400.0, 800_000.0) == 0
            rows = [line for line in rig.lines("b1") if line.at_ms]
            assert 0 < len(rows) <= 8 * 5

    run(play())


FAST = {"probe_ms": 200.0, "ack_ms": 80.0, "datagrams_per_s": 200.0}


def test_a_failed_request_has_the_other_hops_keep_theirs_also_where_one_is_lost() -> None:
    """Nothing is drawn. Of what failed or was sent again, each hop that lives keeps its record, with no weight; of the
    rest none does."""

    async def play() -> None:
        none = {"rest": 0.000001, "records_per_s": 400.0, "bytes_per_s": 800_000.0}
        async with Hops(2, 4, none, peers=FAST, errors=0.4, stall_s=0.0) as rig:
            await rig.shows(rig.names, "peers", "5/5".__eq__, "all there")
            load = asyncio.ensure_future(rig.load(4.0, 25.0))
            await asyncio.sleep(2.0)
            await rig.kill("b1.1")
            await load
            await asyncio.sleep(2.0)  # three times 250 ms, and around
            kept: dict[str, set[str]] = {}
            for name in rig.names:
                for line in rig.lines(name):
                    assert line.weight == 0.0 and line.why in ("failed", "again")
                    kept.setdefault(line.client, set()).add(name)
            assert all(client in kept for client, code in rig.codes.items() if code == 502)
            torn = [client for client in kept if not kept[client] >= rig.hops[client] - rig.down]
            assert len(kept) > 20 and len(torn) <= 0.1 * len(kept), (len(torn), len(kept))
            assert len(kept) < 0.8 * len(rig.asked)  # of those without trouble none is kept

    run(play())


def test_a_coordinator_is_followed_by_another_and_one_that_is_cut_off_goes_by_the_safe_part() -> None:
    """Six processes: one sets the rates of all; it is killed under load, the next one's tables are of a higher term,
    and traces stay whole. One that hears of no coordinator goes by a quarter of the rates, until it does again."""

    async def play() -> None:
        rows = {"rest": 0.5, "records_per_s": 100.0, "bytes_per_s": 100_000.0, "hold_ms": 2_000.0}
        async with Hops(2, 5, rows, peers=FAST, owners={"lease_ms": 600.0}) as rig:
            first = await rig.coordinator()
            await rig.shows(rig.names, "captures_table", lambda it: it.startswith("1."), "tables of one term")
            begun = asyncio.get_running_loop().time()
            load = asyncio.ensure_future(rig.load(6.0, 40.0))
            await asyncio.sleep(1.5)
            await rig.kill(first)
            second = await rig.coordinator(but=first)
            left = [name for name in rig.names if name != first]
            term = lambda it: it and int(it.split(".")[0]) > 1  # noqa: E731
            await rig.shows(left, "captures_table", term, "tables of a higher term")
            cut = next(name for name in reversed(left) if name != second)
            fault = rig.cut(cut)
            await rig.shows([cut], "captures", "whole,alone".__eq__, "alone")
            rig.heal(fault)
            await rig.shows([cut], "captures", "whole".__eq__, "not alone any more")
            await load
            await asyncio.sleep(0.5)
            whole, drawn = rig.whole(begun)
            assert drawn > 20 and whole >= 0.95 * drawn, (whole, drawn)
            assert rig.passed(100.0, 100_000.0) == 0
            weights = {line.weight for name in rig.names for line in rig.lines(name)}
            assert any(0.0 < weight < 2.0 for weight in weights)  # by what nodes reported, above `rest`

    run(play())


def test_a_full_disk_is_told_and_counted_and_ends_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, await FakeUpstream().start()) as it:
            control = f"127.0.0.1:{free_port()}"
            it.write(control=control)
            (tmp_path / "full.jsonl").symlink_to("/dev/full")
            with it.operator_path.open("a") as file:
                file.write(f'[captures]\non = true\npath = "{tmp_path}/full.jsonl"\nrest = 1.0\n')
            await it.start()
            for n in range(3):
                assert (await it.ask(X_Trace_Id=f"a{n}"))[0] == 200
            await shows(control, lambda facts: facts.get("captures_dropped") == "3", "three lines dropped")
            await it.said("lines dropped: [Errno 28] No space left on device")
            assert (await it.ask(X_Trace_Id="b"))[0] == 200
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0

    run(play())


def test_a_folder_that_is_not_there_is_a_clear_error(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, await FakeUpstream().start()) as it:
            with it.operator_path.open("a") as file:
                file.write('[captures]\non = true\npath = "/no/such/x.jsonl"\n')
            await it.start(ready=False)
            await it.said("captures.path: there is no folder '/no/such'")
            assert await it.ended() == 2

    run(play())
