"""Discovery is down, and the balancer comes back: real processes and real sockets."""

from __future__ import annotations

import asyncio
import copy
import json
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import pytest

from larkweir.config.options import Operator, Remembered, Store
from larkweir.config.platform import decode
from larkweir.lifecycle.node import Node
from larkweir.membership.remembered.evidence import Churn, Evidence, EvidenceKind
from larkweir.membership.remembered.plan import FIRST
from larkweir.membership.remembered.rows import RestoredState
from larkweir.store.disk import Disk, Files
from larkweir.store.state import StoredState
from larkweir.store.state_store import site_id
from standins.peers import PATIENCE_S, FakeUpstream, Incoming, Talk, entry, ok, status
from tests.fakes import SETTINGS, config_data
from tests.lifecycle.service import Service, service, until
from tests.store.test_service import again, kept, status_of
from tests.upstreams.test_attempts import run

AIM_MS = 5000.0  # the settings' own, below the deadline of 8 s at which one ends that waits for a proof
AT_ONCE = 6
ROOT = Path(__file__).parents[2]


def member(
    name: str, zone: str = "north", *, probes: int = 200, requests: int = 200, says: bool = True
) -> Any:
    """An upstream that says which one it is."""
    extra = f'Instance: "{name}";zone="{zone}";cell=0\r\n' if says else ""

    async def behave(request: Incoming, talk: Talk) -> None:
        probed = request.target in ("/health", "/status/load")
        code = probes if probed else requests
        # Another body for a probe: an answer that repeats the probe's is taken for that.
        await talk.send(ok(b"" if probed else name.encode(), extra) if code == 200 else status(code, extra))

    return behave


def late_to_probes(behave: Any, told: asyncio.Event) -> Any:
    """It serves requests, and does not say who it is before it is told to."""

    async def later(request: Incoming, talk: Talk) -> None:
        if request.target != "/api":
            await told.wait()
        await behave(request, talk)

    return later


async def upstreams(*behaviours: Any) -> list[FakeUpstream]:
    return [await FakeUpstream(behave).start() for behave in behaviours]


def settings_with_probes() -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["PolicyLimits"]["MayProbe"] = True
    return settings


def write_operator(it: Service, identity: str = "Instance", **remembered: Any) -> None:
    rows = [f"{key} = {json.dumps(value)}" for key, value in remembered.items()]
    it.operator_path.write_text(
        '[lifecycle]\nnotify = true\nreload = "whole"\n'
        f'[store]\non = true\npath = "{it.folder / "store"}"\nevery_ms = 20.0\n'
        f'[remembered]\nidentity = "{identity}"\n' + "\n".join(rows) + "\n"
    )


@dataclass
class Outage:
    it: Service
    up: list[FakeUpstream]

    async def crash(self) -> None:
        """Discovery goes, then the balancer, and comes back alone."""
        await kept(self.it)
        self.it.discovery.stop()
        await again(self.it)

    def work(self) -> Counter[tuple[int, str]]:
        """Requests by upstream and class, without probes."""
        found: Counter[tuple[int, str]] = Counter()
        for n, upstream in enumerate(self.up):
            for request in upstream.seen:
                if request.target == "/api":
                    found[n, request.headers["x-qos"]] += 1
        return found


@asynccontextmanager
async def outage(
    folder: Path, *behaviours: Any, identity: str = "Instance", probes: bool = True, **remembered: Any
) -> AsyncIterator[Outage]:
    up = await upstreams(*behaviours)
    async with service(folder) as it, asyncio.timeout(3 * PATIENCE_S):
        write_operator(it, identity, **remembered)
        it.write(known={}, settings=settings_with_probes() if probes else SETTINGS)
        it.discovery.change(*(upstream.entry(f"u{n}") for n, upstream in enumerate(up)))
        await it.start()
        yield Outage(it, up)
    for upstream in up:
        upstream.close()


async def load(it: Service, count: int, seed: int, prefix: str) -> tuple[Counter[int], int]:
    """Requests of all classes, `AT_ONCE` at a time; statuses, and how many were served within the aim. A machine that
    halts makes no more than those late, however long it halts.
    """
    rng, statuses, timely, room = Random(seed), Counter[int](), 0, asyncio.Semaphore(AT_ONCE)

    async def one(n: int) -> None:
        nonlocal timely
        async with room:
            await asyncio.sleep(rng.random() * 0.01)
            begun = time.monotonic()
            code = await status_of(it, f"{prefix}{n}", ("look", "look", "move", "post")[n % 4])
            statuses[code] += 1
            timely += code == 200 and (time.monotonic() - begun) * 1000.0 <= AIM_MS

    await asyncio.gather(*(one(n) for n in range(count)))
    return statuses, timely


def test_with_all_alive_as_many_are_served_in_time_as_with_discovery(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(6))) as out:
            _, before = await load(out.it, 200, 1, "a")
            await out.crash()
            _, after = await load(out.it, 200, 1, "b")
            assert after >= 0.95 * before and before > 190

    run(work())


def test_with_a_third_gone_or_moved_nothing_takes_effect_elsewhere_and_nothing_unsafe_twice(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(6))) as out:
            assert (await load(out.it, 40, 1, "a"))[0][200] > 30
            await kept(out.it)
            out.it.discovery.stop()
            # One is gone, one is another sala's by now, and at the address of a third is a stranger.
            out.up[0].close()
            out.up[1].behave = member("u1", "south")
            out.up[2].behave = late_to_probes(member("other", "south"), told := asyncio.Event())
            for upstream in out.up:
                upstream.seen.clear()
            await again(out.it)
            statuses, timely = await load(out.it, 200, 2, "b")
            done = out.work()
            assert not any(done[2, cls] for cls in ("move", "post"))  # no effect at a stranger's
            runs = Counter(
                request.headers["x-trace-id"]
                for upstream in out.up
                for request in upstream.seen
                if request.target == "/api" and request.headers["x-qos"] == "move"
            )
            assert max(runs.values()) == 1
            assert timely >= 0.9 * 200, (statuses, timely)
            told.set()
            await out.it.said("at the address of u2 is other")

    run(work())


def test_without_a_word_of_who_they_are_only_safe_requests_go_there(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}", says=False) for n in range(3)), identity="") as out:
            assert (await load(out.it, 40, 1, "a"))[0] == {200: 40}
            for upstream in out.up:
                upstream.seen.clear()
            await out.crash()
            begun = time.monotonic()
            assert [await status_of(out.it, f"b{n}", "move") for n in range(5)] == [503] * 5
            assert time.monotonic() - begun < 8.0  # at once: the first was not held to its deadline of 8 s
            assert [await status_of(out.it, f"c{n}", "look") for n in range(5)] == [200] * 5
            assert {cls for _, cls in out.work()} == {"look"}
            assert await out.it.discovery.start()  # and with discovery's word all is as before
            await out.it.said("remembered: discovery lists 3")
            assert await status_of(out.it, "d", "move") == 200

    run(work())


def test_where_probes_are_not_allowed_safe_requests_prove_for_the_others(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, member("u0"), member("u1"), probes=False) as out:
            assert await status_of(out.it, "a", "look") == 200
            await out.crash()
            assert await status_of(out.it, "b", "move") == 503
            for n in range(8):
                assert await status_of(out.it, f"c{n}", "look") == 200
            assert [await status_of(out.it, f"d{n}", "post") for n in range(5)] == [200] * 5
            assert not any(request.target == "/health" for up in out.up for request in up.seen)

    run(work())


def test_one_that_answers_probes_and_fails_requests(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(3))) as out:
            assert await status_of(out.it, "a", "look") == 200
            await kept(out.it)
            out.it.discovery.stop()
            out.up[0].behave = member("u0", requests=500)
            out.up[0].seen.clear()
            await again(out.it)
            statuses = Counter([await status_of(out.it, f"b{n}", "look") for n in range(60)])
            assert statuses[200] >= 58
            assert out.work()[0, "look"] <= 12

    run(work())


def test_a_first_list_that_is_empty_is_not_believed_for_a_while_and_what_it_says_has_left_has(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(4)), panic_ms=1500.0) as out:
            assert (await load(out.it, 40, 1, "a"))[0] == {200: 40}
            await out.crash()
            assert (await load(out.it, 40, 2, "b"))[0] == {200: 40}
            fresh = out.it.discovery
            gone, fresh.entries = fresh.entries, {}
            fresh.entries = {"u3": gone["u3"] | {"lifecycle": "leaving"}}
            await fresh.start()
            await out.it.said("are not in its list")
            before = out.work()
            assert (await load(out.it, 40, 3, "c"))[0] == {200: 40}
            later = out.work()
            assert not any(later[3, cls] - before[3, cls] for cls in ("look", "move", "post"))
            await out.it.said("are not used any more")
            assert await status_of(out.it, "d", "look") == 503

    run(work())


def test_a_list_of_an_older_generation_does_not_end_a_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(2))) as out:
            out.it.discovery.change(out.up[0].entry("u0", lifecycle="leaving"))
            await kept(out.it)
            out.it.discovery.stop()
            before = len(out.up[0].seen)
            await again(out.it)
            out.it.discovery.generation = 1  # a replica that is behind
            out.it.discovery.entries["u0"] = out.up[0].entry("u0")
            await out.it.discovery.start()
            await out.it.said("remembered: discovery lists")
            await asyncio.sleep(0.6)  # past the grace
            assert [await status_of(out.it, f"b{n}", "look") for n in range(20)] == [200] * 20
            assert len(out.up[0].seen) == before

    run(work())


def test_discovery_that_flaps_changes_nothing_but_the_first_time(tmp_path: Path) -> None:
    async def work() -> None:
        async with outage(tmp_path, *(member(f"u{n}") for n in range(3))) as out:
            await out.crash()
            for n in range(4):
                await out.it.discovery.start()
                await until(lambda: not out.it.discovery.calls.empty(), "a call")
                statuses, _ = await load(out.it, 20, n, f"r{n}-")
                assert statuses == {200: 20}
                out.it.discovery.stop()
                while not out.it.discovery.calls.empty():
                    out.it.discovery.calls.get_nowait()
            assert sum("remembered: discovery lists" in line for line in out.it.log) == 1

    run(work())


# ---------------------------------------------------------------- a node in this process


@asynccontextmanager
async def node_with(
    entries: list[dict[str, Any]], me: int = 0, copies: int = 1, listen: str = "127.0.0.1:0", **rows: Evidence
) -> AsyncIterator[Node]:
    """A balancer whose discovery is down, with a list of a moment ago."""
    settings = settings_with_probes() | {"PeersTotal": copies, "Me": me}
    data = config_data([], 1, listen=listen, settings=settings, known={})
    config = decode(json.dumps(data), {})
    options = Operator(
        remembered=Remembered(identity="Instance", known=True), store=Store(), fastcgi=Operator().fastcgi
    )
    node = Node(config, asyncio.get_running_loop(), options=options)
    node.discovery.trust_known = False
    node.discovery.start()
    assert node.remembered is not None
    now = node.clock.now_ms()
    told = {
        item["instanceId"]: Evidence(now - 1000.0, now - 1000.0, EvidenceKind.ANSWERED) for item in entries
    } | rows
    held = {"generation": 5, "reset": True, "instances": entries}
    node.remembered.restore(RestoredState(held, told, Churn(), False, {}), node.runner)
    try:
        yield node
    finally:
        node.close()


def test_a_list_that_names_this_balancers_own_address(tmp_path: Path) -> None:
    async def work() -> None:
        up = await upstreams(member("u0"))
        entries = [up[0].entry("u0"), entry("me", 7001)]
        async with node_with(entries, listen="127.0.0.1:7001") as node:
            assert [target.address[1] for target in node.upstreams.table.values()] == [up[0].port]
        up[0].close()

    run(work())


def test_an_upstream_in_another_zone_is_taken_where_it_says_it_is() -> None:
    async def work() -> None:
        up = await upstreams(member("u0", "south"))
        async with node_with([up[0].entry("u0")]) as node, asyncio.timeout(PATIENCE_S):
            fleet = node.decisions.table  # type: ignore[attr-defined]
            number = node.discovery.number("u0") or next(iter(fleet.servers))
            await until(lambda: fleet.servers[number].restored_trust.has_location, "its place")
            assert fleet.servers[number].zone == node.discovery.names.zone("south")
        up[0].close()

    run(work())


def test_an_empty_list_is_not_ready() -> None:
    async def work() -> None:
        async with node_with([]) as node:
            assert not node.dispatcher.ready

    run(work())


def test_a_list_a_month_old_is_not_used_and_not_ready() -> None:
    async def work() -> None:
        month = 31 * 86_400_000.0
        async with node_with([entry("u0", 9)], u0=Evidence(1.0, 1.0, EvidenceKind.SHOWN)) as node:
            assert node.clock.now_ms() > month and not node.dispatcher.ready

    run(work())


def test_thirty_that_start_together_prove_all_alike() -> None:
    """The busiest upstream gets no more than twice the mean while unproved."""

    async def work() -> None:
        told = asyncio.Event()
        up = await upstreams(*(late_to_probes(member(f"u{n}"), told) for n in range(30)))
        entries = [upstream.entry(f"u{n}") for n, upstream in enumerate(up)]
        async with asyncio.timeout(3 * PATIENCE_S):
            nodes = [node_with(entries, me, 30) for me in range(30)]
            started = [await node.__aenter__() for node in nodes]
            # One loop answers the probes of all: how soon it does is not what is looked at.
            for it in started:
                it.remembered.prober.PROBE_TIMEOUT_MS = 3_000.0 * PATIENCE_S  # type: ignore[union-attr]
            # The first ones of all are out, and nobody has an answer yet.
            await until(lambda: sum(len(upstream.seen) for upstream in up) >= 30 * FIRST, "the first probes")
            first = [len(upstream.seen) for upstream in up]
            told.set()
            await until(
                lambda: all(it.remembered.entries.counts().answered == 30 for it in started),  # type: ignore[union-attr]
                "all proved",
            )
            assert max(first) <= 2.0 * sum(first) / len(first)
            total = [len(upstream.seen) for upstream in up]
            assert max(total) <= 2.0 * sum(total) / len(total)
            for node in nodes:
                await node.__aexit__(None, None, None)
        for upstream in up:
            upstream.close()

    run(work())


def test_a_strangers_answer_is_not_passed_on(tmp_path: Path) -> None:
    """No probe is allowed, so that the request itself finds out."""

    async def work() -> None:
        async with outage(tmp_path, member("u0"), probes=False) as out:
            assert await status_of(out.it, "a", "look") == 200
            await kept(out.it)
            out.it.discovery.stop()
            out.up[0].behave = member("other")
            await again(out.it)
            before = len(out.up[0].seen)
            assert await status_of(out.it, "b", "look") in (502, 503, 504)
            assert len(out.up[0].seen) == before + 1  # it has answered 200, once
            await out.it.said("at the address of u0 is other")

    run(work())


# ---------------------------------------------------------------- for staff


def members(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "larkweir", "members", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )


def keep(folder: Path, rows: list[dict[str, Any]]) -> None:
    config = decode(json.dumps(config_data([], 1)), {})
    disk = Disk(Files(str(folder)), site_id(config))
    disk.open()
    state = StoredState()
    now = time.time() * 1000.0
    state.clock_ms = state.answered_ms = now - 60_000.0
    state.source, state.generation = "127.0.0.1:1", 7
    for row in rows:
        state.listed[row["instanceId"]] = row
    state.served[rows[0]["instanceId"]] = (now - 30_000.0, EvidenceKind.SHOWN)
    disk.begin_generation(None, state)
    disk.close()


def test_staff_see_a_list_with_ages_and_trust(tmp_path: Path) -> None:
    keep(tmp_path, [entry("u0", 9), entry("u1", 10, lifecycle="leaving")])
    shown = members(str(tmp_path))
    assert shown.returncode == 0, shown.stderr
    lines = shown.stdout.splitlines()
    assert "generation 7" in lines[0] and "127.0.0.1:1" in lines[0]
    first, second = (next(line.split() for line in lines if line.startswith(name)) for name in ("u0", "u1"))
    assert first[:4] == ["u0", "127.0.0.1:9", "north", "active"] and "shown" in first
    assert second[3] == "leaving" and "listed" in second
    assert members("--verify", str(tmp_path)).returncode == 0


@pytest.mark.parametrize("harm", ["cut", "flip", "none there"])
def test_verify_ends_with_2_on_a_bad_list(tmp_path: Path, harm: str) -> None:
    keep(tmp_path, [entry("u0", 9)])
    for path in tmp_path.glob("*.snap"):
        data = bytearray(path.read_bytes())
        if harm == "flip":
            data[len(data) // 2] ^= 4
        path.write_bytes(b"" if harm == "none there" else bytes(data[:-3] if harm == "cut" else data))
    if harm == "none there":
        for path in tmp_path.iterdir():
            path.unlink()
    found = members("--verify", str(tmp_path))
    assert found.returncode == 2 and found.stderr and "Traceback" not in found.stderr


def test_the_configurations_own_list_is_held_to_the_same_rules_where_that_is_said(tmp_path: Path) -> None:
    async def work() -> None:
        up = await upstreams(member("u0"), member("other"))
        async with service(tmp_path, *up) as it, asyncio.timeout(3 * PATIENCE_S):
            it.operator_path.write_text(
                '[lifecycle]\nnotify = true\n[remembered]\nidentity = "Instance"\nknown = true\n'
            )
            it.write(settings=settings_with_probes())
            it.discovery.stop()
            await it.start()
            await it.said("at the address of u1 is other")
            assert [await status_of(it, f"a{n}", "move") for n in range(6)] == [200] * 6
            assert not any(request.target == "/api" for request in up[1].seen)
        for upstream in up:
            upstream.close()

    run(work())
