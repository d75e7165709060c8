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
from tests.fleet.test_part import platform
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
    code = "import sys, larkweir.lifecycle.daemon, larkweir.cli.check, larkweir.budget.part, larkweir.fleet.owners"
    code += "; print([name for name in sys.modules if 'captures' in name or 'thresholds' in name])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    code = "import sys, larkweir.fleet.captures.part"
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
            assert {(line["why"], line["weight"], line["th"]) for line in lines} == {("drawn", 1.0, "")}
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
