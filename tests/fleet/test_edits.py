"""Route edits that merge, in real processes: cut off and met again, killed after an edit, handed over, a full disk, an
ended canary; the four rules on the traffic meanwhile."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

from larkweir.config.operator import decode
from larkweir.config.options import Operator, changed
from standins.checkers import broken
from standins.copies import Copy
from standins.manager import ROOT
from standins.peers import PATIENCE_S
from standins.plans import Disk, Fault, Kind, Plan
from standins.together import Together
from tests.fleet.services import PEERS_TABLE, peered, shows, status
from tests.lifecycle.service import Service
from tests.upstreams.test_attempts import run

PEERS = {"probe_ms": 100.0, "ack_ms": 40.0}
EDITS = {"away_ms": 600_000.0}
ROUTES = {
    "route.all": {"path": "/*"},
    "route.a": {"path": "/a/*", "alarm": 0.05},
    "route.b": {"path": "/b/*"},
}


def test_nothing_of_it_is_imported_when_it_is_off() -> None:
    code = (
        "import sys, larkweir.lifecycle.daemon, larkweir.cli.check, larkweir.coordination.part; "
        "import larkweir.coordination.owners, larkweir.routes.part; "
        "print([name for name in sys.modules if 'edits' in name])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    assert not Operator().edits.on and not changed(Operator(), decode("[edits]\non = false\n")[0])


async def where(copies: Sequence[Copy], true: Callable[[dict[str, str]], bool], what: str) -> None:
    """Until that is so at each."""
    facts: dict[str, dict[str, str]] = {}
    try:
        async with asyncio.timeout(2 * PATIENCE_S):
            for copy in copies:
                while not true(facts.setdefault(copy.name, {})):
                    facts[copy.name] = await copy.status()
                    await asyncio.sleep(0.05)
    except TimeoutError:
        raise AssertionError(f"never came: {what}; {facts}; {[copy.log[-5:] for copy in copies]}") from None


async def equal(copies: Sequence[Copy], edits: int = -1) -> str:
    """Until all have the same tables, and so many edits or any number; the tables' mark."""
    found: list[dict[str, str]] = []
    try:
        async with asyncio.timeout(2 * PATIENCE_S):
            while True:
                found = [await copy.status() for copy in copies]
                marks = {facts.get("edits_tables") for facts in found}
                counts = {facts.get("edits") for facts in found}
                if (
                    len(marks) == 1
                    and {facts.get("edits_state") for facts in found} == {"ok"}
                    and (edits < 0 or counts == {str(edits)})
                ):
                    return str(marks.pop())
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise AssertionError(f"never equal: {found}; {[copy.log[-5:] for copy in copies]}") from None


def said(copy: Copy, text: str) -> bool:
    return any(text in line for line in copy.log)


def test_two_edges_cut_off_edit_meet_again_and_settle_with_the_rules_held_on_traffic() -> None:
    """A conflict is told on both sides and at the third; the file that was right all along is said anew by `settle`."""

    async def play() -> None:
        async with Together(3, 1, peers=PEERS, edits=EDITS, routes=ROUTES) as rig:
            one, other, third = copies = list(rig.copies.values())
            before = await equal(copies, 0)
            cut = Fault(Kind.GROUPS, 0.0, 0.0, (one.name,), (other.name, third.name))
            await rig.begin(cut)
            one.edit(
                route_a={"path": "/one/*", "alarm": 0.05},
                route_b={"path": "/b/*", "alarm": 0.002},
                route_n={"path": "/n"},
            )
            other.edit(
                route_a={"path": "/other/*", "alarm": 0.2},
                route_b={"path": "/b/*", "alarm": 0.004, "ramp_ms": 5.0},
                pool_p={"kinds": ["box"]},
                route_p={"path": "/p", "pool": "p"},
            )
            here, there = await equal([one]), await equal([other, third])
            await where(
                [one], lambda facts: facts.get("edits") == "3", "its own edits, in force while it is cut off"
            )
            await where(
                [other, third], lambda facts: facts.get("edits") == "4", "the others' on the other side"
            )
            here, there = await equal([one]), await equal([other, third])
            assert len({before, here, there}) == 3

            await rig.end(cut)
            await where(copies, lambda facts: facts.get("edits") == "7", "all edits")
            await equal(copies, 7)
            await where(copies, lambda facts: facts.get("edits_of") == "route.a.match", "the conflict told")
            for copy in copies:
                await rig.until(
                    lambda copy=copy: said(copy, "edits: route.a.match: conflict"), "the conflict in its log"
                )  # type: ignore[misc]
                line = next(line for line in copy.log if "route.a.match: conflict" in line)
                assert "/one/*" in line and "/other/*" in line
                facts = await copy.status()
                assert (facts["routes"], facts["edits_foreign"]) == ("5", "0")

            one.edit(settle=["route.a.path"])
            await where(copies, lambda facts: facts.get("edits_of") == "none", "settled at all")
            settled = await equal(copies, 8)
            for copy in copies:
                await rig.until(lambda copy=copy: said(copy, "edits: route.a.match: settled"), "it said so")  # type: ignore[misc]
            one.edit(settle=["route.a.path"])  # the same word again is no new one
            await rig.until(
                lambda: sum("reload: discovery" in line for line in one.log) >= 3, "a third reload"
            )
            assert await equal(copies, 8) == settled
            await rig.quiet()
            assert broken(rig.history) == []
            assert not [line for copy in copies for line in copy.log if "Traceback" in line]

    run(play())


def test_a_reload_of_an_old_file_and_a_start_with_an_unchanged_one_undo_nothing() -> None:
    """The merged tables serve from the folder alone, though no other copy is to be had."""

    async def play() -> None:
        async with Together(2, 2, peers=PEERS, edits=EDITS, routes=ROUTES) as rig:
            one, other = copies = list(rig.copies.values())
            await equal(copies, 0)  # a reload before its folder is open may be refused after 4 s
            one.edit(route_a={"path": "/one/*"})
            mark = await equal(copies, 1)
            other.edit()  # its file says what it said
            await rig.until(lambda: said(other, "reload: discovery"), "the reload")
            assert not said(other, "made of this reload") and await equal(copies, 1) == mark
            await rig.begin(Fault(Kind.KILL, 0.0, 0.0, (one.name,)))
            await rig.begin(Fault(Kind.DRAIN, 0.0, 0.0, (other.name,)))
            await rig.end(Fault(Kind.DRAIN, 0.0, 0.0, (other.name,)))
            facts = await other.status()
            assert (facts["edits_tables"], facts["edits"], facts["edits_differs"]) == (mark, "1", "2")
            await rig.end(Fault(Kind.KILL, 0.0, 0.0, (one.name,)))
            assert await equal(copies, 1) == mark
            assert not said(one, "made of what the file says") and not said(
                other, "made of what the file says"
            )
            await rig.quiet()
            assert broken(rig.history) == []

    run(play())


def test_killed_after_an_edit_and_back_with_the_old_no_or_yesterdays_disk() -> None:
    """What another copy was told of is never lost, no dot is used twice, and a file that its folder is behind of undoes
    nothing: it is told as an edit by nobody.
    """

    async def play(disk: Disk, seed: int) -> None:
        async with Together(3, seed, peers=PEERS, edits=EDITS, routes=ROUTES) as rig:
            one, _, third = copies = list(rig.copies.values())
            one.edit(route_a={"path": "/first/*"})
            await equal(copies, 1)
            one.save()
            one.edit(route_a={"path": "/second/*"}, route_c={"path": "/c"})
            mark = await equal(copies, 3)
            kill = Fault(Kind.KILL, 0.0, 0.0, (one.name,), disk=disk)
            await rig.begin(kill)
            third.edit(route_t={"path": "/t"}, route_a={"path": "/third/*"})
            await where(copies[1:], lambda facts: facts.get("edits") == "5", "edits while it is away")
            await rig.end(kill)
            await where(copies, lambda facts: facts.get("routes") == "5", "both sides' new routes")
            met = await equal(copies)
            assert met != mark and met == (await third.status())["edits_tables"]
            assert [(await copy.status())["edits_told"] for copy in copies] == ["0"] * 3
            assert not said(one, "made of what the file says")
            if disk is Disk.YESTERDAY:
                await rig.until(lambda: said(one, "edits: the folder is older"), "that it said so before")
            one.edit(route_b={"path": "/late/*"})
            await where(
                copies, lambda facts: facts.get("edits_tables") not in (None, "", met), "its next edit at all"
            )
            await equal(copies)
            for copy in copies:
                facts = await copy.status()
                assert facts["edits_told"] == "0", copy.log[-5:]
                assert facts["edits_dropped"] == "0" or facts["edits_dropped"].startswith("other_origin")
            await rig.quiet()
            assert broken(rig.history) == []

    for seed, disk in enumerate((Disk.OLD, Disk.LOST, Disk.YESTERDAY)):
        run(play(disk, 10 + seed))


def test_edits_at_every_copy_meet_through_bad_weather_a_stop_and_a_kill_with_the_rules_held() -> None:
    """A seeded plan: a fifth of the datagrams lost, others late, doubled, in another order; a cut meanwhile."""

    async def play() -> None:
        async with Together(4, 4, peers=PEERS, edits=EDITS, routes=ROUTES) as rig:
            copies = list(rig.copies.values())
            await equal(copies, 0)
            every = tuple(rig.copies)
            weather = [
                Fault(kind, 0.0, 3_000.0, every, every, chance=0.2, ms=80.0)
                for kind in (Kind.DROP, Kind.REORDER, Kind.DOUBLE)
            ]
            cut = Fault(Kind.GROUPS, 200.0, 1_800.0, every[:2], every[2:])
            stop = Fault(Kind.STOP, 400.0, 1_400.0, (every[1],))
            kill = Fault(Kind.KILL, 1_500.0, 2_200.0, (every[3],), disk=Disk.OLD)

            async def staff() -> None:
                rng = Random(4)
                for n in range(12):
                    copy = rng.choice((copies[0], copies[2]))
                    rows = {f"route_n{n}": {"path": f"/n{n}"}, "route_b": {"path": f"/{copy.name}/{n}"}}
                    copy.edit(**rows)
                    await asyncio.sleep(0.2)

            await asyncio.gather(rig.play(Plan((*weather, cut, stop, kill), 3_200.0)), staff())
            await where(copies, lambda facts: facts.get("routes") == "15", "every new route at all")
            await equal(copies)
            for copy in copies:
                assert (await copy.status())["edits_of"] == (await copies[0].status())["edits_of"]
            await rig.quiet()
            assert broken(rig.history) == []
            assert rig.relay.lost > 20
            assert not [line for copy in copies for line in copy.log if "Traceback" in line]

    run(play())


def test_a_full_disk_refuses_the_reload_serves_on_and_mends() -> None:
    async def play() -> None:
        async with Together(2, 3, peers=PEERS, edits=EDITS, routes=ROUTES) as rig:
            one, other = copies = list(rig.copies.values())
            mark = await equal(copies, 0)
            assert one.process is not None
            size = max(path.stat().st_size for path in (one.disk / "edits").iterdir())
            resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
            one.edit(route_a={"path": "/full/*"})
            await rig.until(
                lambda: any("reload: edits: " in line and "File too large" in line for line in one.log),
                "refused",
            )
            assert (await one.status())["edits_tables"] == mark
            other.edit(route_b={"path": "/other/*"})  # comes here, and can't be kept
            await where([other], lambda facts: facts.get("edits") == "1", "the other's edit, there")
            resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)
            await rig.until(lambda: said(one, "it can be written again"), "mended")
            await equal(copies, 1)
            one.edit(route_a={"path": "/anew/*"})
            assert await equal(copies, 2) != mark
            await rig.quiet()
            assert broken(rig.history) == []

    run(play())


def test_a_successor_goes_on_with_the_folder_under_a_new_writers_name(tmp_path: Path) -> None:
    """Over a handover the tables stay, its first edit after it counts, and no edit is lost or made twice."""

    def prepare(n: int, it: Service, names: list[str]) -> None:
        says(it, tmp_path / str(n), "/old")

    async def play() -> None:
        async with peered(tmp_path, 2, prepare, handover=True) as them:
            first, second = them.values()
            control = second.data["control"]
            await shows(control, lambda facts: facts.get("edits_state") == "ok", "that it has met the other")
            before = (await status(control))["edits_tables"]
            says(first, tmp_path / "0", "/new")
            first.signal(signal.SIGHUP)
            await first.said("edits: 1 made of this reload")
            await shows(
                control,
                lambda facts: facts.get("edits") == "1" and facts.get("edits_tables") != before,
                "the edit, in force",
            )
            mark = (await status(control))["edits_tables"]
            first.signal(signal.SIGUSR2)
            pid = await first.successor()
            await first.ended()
            assert (await first.ask())[0] == 200
            says(first, tmp_path / "0", "/newest")
            os.kill(pid, signal.SIGHUP)
            await first.said("edits: 1 made of this reload", 2)
            await shows(
                control,
                lambda facts: facts.get("edits") == "2" and facts.get("edits_tables") != mark,
                "the successor's edit, in force",
            )
            assert not [line for line in first.log if "made of what the file" in line]

    run(play())


def says(it: Service, folder: Path, path: str) -> None:
    it.write_operator()
    with it.operator_path.open("a") as file:
        file.write(f'{PEERS_TABLE}[edits]\non = true\nfolder = "{folder / "edits"}"\n')
        file.write(f'[route.all]\npath = "/*"\n[route.a]\npath = "{path}/*"\n')
