"""Owners as a part of a balancer: the files and what they may not say, real processes, the owner killed and drained,
nothing when off."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from larkweir.cli.check import check
from larkweir.config.fleet_tables import DUTIES
from larkweir.config.operator import decode
from larkweir.config.options import Operator, changed
from larkweir.coordination.duties.table import FACTORIES
from standins.manager import ROOT
from standins.peers import PATIENCE_S
from tests.fleet.services import PEERS_TABLE, peered, platform, shows, status
from tests.lifecycle.service import Service
from tests.upstreams.test_attempts import run

A, B, C = "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"
PEERS = f'[peers]\non = true\nlisten = "{A}"\npeers = ["{B}", "{C}"]\n'
KEEPERS = f'keepers = ["{A}", "{B}", "{C}"]'
FAULTS = [
    (f'keepers = ["{A}", "{B}"]', "owners.keepers", "2 balancers; write three or five"),
    (f'keepers = ["{A}", "{A}", "{B}"]', "owners.keepers", "each once"),
    (f'keepers = ["{A}", "{B}", "here"]', "owners.keepers", "'here' is not an IPv4"),
    ("on = true", "owners.keepers", "0 balancers"),
    ('folder = "here"', "owners.folder", "from the root"),
    ('duties = ["verdict"]', "owners.duties", "there are verdicts, ramps"),
    ("lease_ms = 1.0", "owners.lease_ms", "out of bounds"),
]


@pytest.mark.parametrize(("text", "key", "words"), FAULTS)
def test_a_fault_of_the_table_names_key_and_what_would_do(text: str, key: str, words: str) -> None:
    _, faults = decode(f"[owners]\n{text}\n")
    assert [fault for fault in faults if fault.startswith(key)] and words in " ".join(faults)


@pytest.mark.parametrize(
    ("peers", "owners", "limits", "said"),
    [
        (PEERS, f'{KEEPERS}\nfolder = "/x"', True, ""),
        (PEERS, f'{KEEPERS}\nfolder = "/x"', False, "PolicyLimits.Peers"),
        ("", f'{KEEPERS}\nfolder = "/x"', True, "it needs peers"),
        (PEERS, KEEPERS, True, "owners.folder: 127.0.0.1:7001 is a keeper"),
        (PEERS, f'keepers = ["{B}", "{C}", "127.0.0.1:7004"]', True, "127.0.0.1:7004 is none of the 3 peers"),
    ],
)
def test_check_says_where_owners_can_not_be_switched_on(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], peers: str, owners: str, limits: bool, said: str
) -> None:
    operator, config = tmp_path / "o.toml", tmp_path / "c.json"
    operator.write_text(f"{peers}[owners]\non = true\n{owners}\n")
    config.write_text(platform(limits_of_policy={"Peers": limits}))
    assert check([str(operator), str(config)]) == (2 if said else 0)
    assert said in capsys.readouterr().out


def test_nothing_of_it_is_imported_when_it_is_off() -> None:
    code = (
        "import sys, larkweir.lifecycle.daemon, larkweir.cli.check, larkweir.coordination.part; "
        "print([name for name in sys.modules if 'owners' in name or 'duties' in name])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    assert not Operator().owners.on and not changed(Operator(), decode("[owners]\non = false\n")[0])


def owners(it: Service, folder: Path, keepers: list[str], lease_ms: float, duties: list[str]) -> None:
    """Switch peers and owners on in a balancer's operator file."""
    with it.operator_path.open("a") as file:
        file.write(f"{PEERS_TABLE}[owners]\non = true\nkeepers = {json.dumps(keepers)}\n")
        file.write(f'folder = "{folder / "keeper"}"\nlease_ms = {lease_ms}\nduties = {json.dumps(duties)}\n')


async def owner_of(them: dict[str, Service], duty: str, but: tuple[str, ...] = ()) -> str:
    """Whom a majority of those that live names, none of `but`."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            names: list[str] = []
            for it in them.values():
                facts = await status(it.data["control"])
                rows = [row.split(":") for row in facts.get("owners", "").split(",")]
                names += [f"{row[2]}:{row[3]}" for row in rows if len(row) == 5 and row[0] == duty]
            found = next((name for name in names if names.count(name) > len(them) // 2), "")
            if found in them and found not in but:
                return found
            await asyncio.sleep(0.02)


def effects(it: Service) -> list[tuple[int, int]]:
    found = []
    for line in it.log:
        if "owners: drill " in line and line.endswith(" taken"):
            term, _, number = line.split()[-2].partition(".")
            found.append((int(term), int(number)))
    return found


def test_five_processes_have_one_owner_over_a_kill_a_pause_and_a_stop(tmp_path: Path) -> None:
    def prepare(n: int, it: Service, names: list[str]) -> None:
        owners(it, tmp_path / str(n), names[:3], 2_000.0, ["drill"])

    async def play() -> None:
        async with peered(tmp_path, 5, prepare) as them:
            names = list(them)
            first = await owner_of(them, "drill")
            await them[first].said("owners: drill owned here, term ")
            others = [name for name in names if name != first]
            for name in others:
                await them[name].said("owners: drill ")  # an effect taken
            gone = them.pop(first)
            gone.signal(signal.SIGKILL)
            second = await owner_of(them, "drill", (first,))
            await them[second].said("owners: drill owned here, term ")
            await gone.start()  # with its disk: where it is a keeper, it is one again
            them[first] = gone
            voting = "voting" if first in names[:3] else "no"
            await shows(gone.data["control"], lambda facts: facts.get("owners_keeper") == voting, "it votes")

            host, _, port = them[second].data["control"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PAUSE\n")
            await reader.read()
            writer.close()
            await them[second].said("owners: drill given up: paused")
            third = await owner_of(them, "drill", (second,))

            it = them.pop(third)
            it.signal(signal.SIGTERM)
            await it.said("owners: drill given up: draining")
            await it.ended()
            left = next(name for name in them if name not in (first, second))
            count = len(effects(them[left]))
            host, _, port = them[second].data["control"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"RESUME\n")
            await reader.read()
            writer.close()
            await owner_of(them, "drill", (third,))
            async with asyncio.timeout(PATIENCE_S):
                while len(effects(them[left])) <= count:
                    await asyncio.sleep(0.02)
            for each in (*them.values(), it):
                taken = effects(each)
                assert taken == sorted(taken)
                assert each is gone or len(taken) == len(set(taken))
            await shows(
                them[second].data["control"], lambda facts: facts.get("owners_majority") == "1", "a majority"
            )

    run(play())


def test_a_successor_goes_on_with_the_name_the_keepers_file_and_nothing_twice(tmp_path: Path) -> None:
    """Handover by a signal: the owner gives up first; its successor opens the file, votes again and owns again."""

    def prepare(n: int, it: Service, names: list[str]) -> None:
        it.write_operator(handover="signal")
        owners(it, tmp_path / str(n), names, 600.0, ["drill"] if n == 0 else [])

    async def play() -> None:
        async with peered(tmp_path, 3, prepare, handover=True) as them:
            first, second, third = them.values()
            await first.said("owners: drill owned here, term ")
            await first.said(" taken")
            first.signal(signal.SIGUSR2)
            await first.successor()
            await first.ended()
            await first.said("owners: drill given up: a successor goes on")
            await first.said("owners: drill owned here, term ", 2)
            modes = [line.split()[-1] for line in first.log if "owners: keeper: " in line]
            assert modes[modes.index("voting") :] == ["voting", "voting"]  # it asked nobody
            count = len(effects(first))
            async with asyncio.timeout(PATIENCE_S):
                while len(effects(first)) <= count:
                    await asyncio.sleep(0.02)
            taken = effects(first)
            assert taken == sorted(taken)  # the newest may be told by both lives
            await first.said("owners: keeper: voting", 2)
            # With another gone there still is a majority, which needs the one that was handed over
            third.signal(signal.SIGKILL)
            count = len(effects(first))
            async with asyncio.timeout(PATIENCE_S):
                while len(effects(first)) <= count + 3:
                    await asyncio.sleep(0.02)
            assert (await status(second.data["control"])).get("owners_keeper") == "voting"

    run(play())


def test_every_duty_that_may_be_named_has_a_maker_and_is_imported_only_then() -> None:
    assert set(FACTORIES) == set(DUTIES)
    code = (
        "import sys; from larkweir.coordination.duties.table import TaskContext, create_tasks; "
        "found = create_tasks(['drill', 'ramps'], TaskContext(1, None, lambda: None)); "
        "print(list(found), [n for n in sys.modules if n.startswith('larkweir.coordination.duties.')])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.startswith("['drill']") and "verdicts" not in done.stdout
