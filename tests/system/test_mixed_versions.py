"""Processes of this and of an earlier version of the code form one fleet and read each other's data folders."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
import tarfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.system.loopback import Client, Fleet, ReceivedRequest, Reply, Upstream, answer, ask, events
from tests.system.test_fleet import configuration, respond_ok

ROOT = Path(__file__).parent.parent.parent
EARLIER_COMMIT = (
    "4a677a78961aecde9dd15f9abe2cbd93d0d4822a"  # before the wording of the fleet's code was changed
)
SCENARIO_TIMEOUT_S = 90.0
OLD, NEW = "old", "new"
PREFIX = "a-shared-head"
SMALL_BURST = 40  # requests; the burst of a tenant with a small quota


@pytest.fixture(scope="module")
def earlier(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the root folder of the earlier version's code."""
    if not (ROOT / ".git").exists() or shutil.which("git") is None:
        pytest.skip(f"no git clone here that could have {EARLIER_COMMIT[:7]}")
    found = _git("rev-parse", "--verify", "--quiet", EARLIER_COMMIT + "^{commit}")
    if found.returncode == 1:
        pytest.skip(f"this clone does not have {EARLIER_COMMIT[:7]}")
    assert found.returncode == 0, found.stderr.decode()
    root = tmp_path_factory.mktemp("earlier")
    archive_path = root / "text.tar"
    archived = _git(
        "archive", f"--output={archive_path}", EARLIER_COMMIT, "larkweir", "mulleinhitch", "packages"
    )
    assert archived.returncode == 0, archived.stderr.decode()
    with tarfile.open(archive_path) as archive:
        archive.extractall(root, filter="data")
    return root


def _git(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, check=False)


def _environment(root: Path) -> dict[str, str]:
    """Return an environment in which Python imports the code in `root` before any installed package."""
    sources = [root, *sorted(root.glob("packages/*/src"))]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, sources))}


class MixedFleet(Fleet):
    """A fleet of real processes, each of the old or the new version."""

    def __init__(self, folder: Path, earlier: Path, controllers: list[str], routers: list[str]) -> None:
        super().__init__(folder, len(controllers), len(routers), tolerance=len(controllers) // 2)
        self._roots = {OLD: earlier, NEW: ROOT}
        self.versions = dict(zip([*self.control, *self.fronts], [*controllers, *routers], strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_controller(self, number: int, bootstrap: bool = False) -> None:
        self._spawn("controller", self.control[number], {"control": self.control[number]}, bootstrap)

    def start_router(self, number: int) -> None:
        front = self.fronts[number]
        self._spawn("router", front, {"front": front, "ready": self.ready[number]}, False)

    def _spawn(self, role: str, address: str, listen: dict[str, str], bootstrap: bool) -> None:
        ip = address.partition(":")[0]
        root = self._roots[self.versions[address]]
        settings = self.folder / f"{ip}.yaml"
        settings.write_bytes(self._settings_text(ip, listen, bootstrap))  # JSON is YAML
        with self._log(address).open("ab") as log:
            self.processes[address] = subprocess.Popen(
                [sys.executable, "-m", "larkweir.system", role],
                cwd=root,
                env={**_environment(root), "LARKWEIR_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )

    def _log(self, address: str) -> Path:
        return self.folder / f"{address.partition(':')[0]}.log"

    async def kill(self, address: str) -> None:
        process = self.processes.pop(address)
        process.kill()
        process.wait()

    async def stop(self) -> None:
        for address in list(self.processes):
            await self.kill(address)
        for upstream in self.upstreams:
            upstream.close()

    def log_tails(self) -> str:
        """Return the ends of all logs, to be shown with a test failure."""
        return "\n".join(
            f"{self.versions[address]} {address}: {self._log(address).read_text()[-2_000:]}"
            for address in self.versions
        )

    async def until_ready(self, number: int = 0) -> None:
        async def ready() -> bool:
            return (await ask(self.ready[number], "GET", "/ready")).status == 200

        await self.until(ready)

    async def send_heartbeats(self, service: str) -> None:
        """Send one heartbeat of each upstream, so that none is considered silent."""
        for upstream in self.upstreams:
            await self.register(upstream, service)

    async def until_known(self) -> None:
        """Wait until every controller knows every registered upstream."""
        ids = {upstream.id for upstream in self.upstreams}

        async def known() -> bool:
            lists = [await self.read(number, "/upstreams") for number in range(len(self.control))]
            return all({one["id"] for one in known if one["state"] == "ready"} >= ids for known in lists)

        await self.until(known)

    async def read(self, number: int, target: str) -> Any:
        """Return the decoded response of a controller to a GET, repeated until it succeeds."""
        replies: list[Reply] = []

        async def is_answered() -> bool:
            replies.append(await ask(self.control[number], "GET", target))
            return replies[-1].status == 200

        await self.until(is_answered)
        return msgspec.json.decode(replies[-1].body)

    async def post(self, router: int, target: str, **headers: str) -> Reply:
        """Send a request of the configured tenant."""
        named = {"X_Request_Id": "r", "X_Api_Key": "key", **headers}
        return await ask(self.fronts[router], "POST", target, b"a question", **named)


def run_scenario(fleet: MixedFleet, scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario and kill all processes after it."""

    async def run() -> None:
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                await scenario()
        except BaseException as problem:
            problem.add_note(fleet.log_tails())
            raise
        finally:
            await fleet.stop()

    asyncio.run(run())


def test_each_version_runs_from_its_own_folder(earlier: Path) -> None:
    script = (
        "import larkweir.system.cli, larkweir_quotas, larkweir_registry, larkweir_replication as last, sys;"
        "print(*{m.__file__ for n, m in sys.modules.items() if n.startswith(('larkweir', 'mulleinhitch'))}, sep='\\n')"
    )
    for root in (earlier, ROOT):
        done = subprocess.run(
            [sys.executable, "-c", script], cwd=root, env=_environment(root), capture_output=True, check=True
        )
        files = [Path(line) for line in done.stdout.decode().split("\n") if line]
        assert len(files) >= 4
        assert all(file.is_relative_to(root) for file in files), files
        assert not any("site-packages" in file.parts for file in files), files


def respond(request: ReceivedRequest) -> tuple[bytes, bool]:
    """Return a plain response, none, or a stream that breaks off after its second event and can be resumed."""
    if request.target == "/plain/unanswered":
        return b"", False
    if not request.target.startswith("/resumable/"):
        return answer(request), False
    last = int(request.headers.get("last-event-id", "0"))
    if last:
        return events(request, range(last + 1, 6)), False
    return events(request, range(1, 3), is_complete=False), True


def with_engines(generation: int, **fields: Any) -> dict[str, Any]:
    """Return the usual configuration with engines as upstreams, and with tenants that have quotas."""
    return configuration(
        generation,
        services=[{"name": "s", "max_conns": 10, "engine": {"slots": 4}}],
        tenants=[
            {"name": "t", "api_keys": ["key"], "priority": 2, "rate_per_s": 1_000, "burst": 2_000_000},
            {"name": "few", "api_keys": ["few"], "rate_per_s": 0.001, "burst": SMALL_BURST},
        ],
        **fields,
    )


async def check_service(fleet: MixedFleet, router: int) -> None:
    """Check a request, a resumed stream, and the placement and prefill queues of prompts through one router."""
    reply = await fleet.post(router, "/plain/x")
    assert (reply.status, reply.body) == (200, b"ok")
    request = next(
        one.requests[-1] for one in fleet.upstreams if one.requests and one.requests[-1].target == "/plain/x"
    )
    assert (request.body, request.headers["x-tenant"], request.headers["priority"]) == (
        b"a question",
        "t",
        "2",
    )
    await check_placements(fleet, router)
    await check_waiting_prompts(fleet, router)
    reply = await fleet.post(router, "/resumable/x")
    assert (reply.status, reply.is_complete) == (200, True)
    ids = [line for line in reply.body.splitlines() if line.startswith(b"id")]
    assert ids == [b"id: %d" % number for number in range(1, 6)]


async def request_placement(
    fleet: Fleet, number: int, prefix_name: str, known: str | None = None
) -> tuple[str | None, bool]:
    """Return the engine that a controller assigns to a prompt prefix, and whether the prefix was placed before."""
    question = {"type": "place", "service": "s", "head": prefix_name, "tokens": 5_000.0, "known": known}
    reader, writer = await asyncio.open_connection(fleet.control[number].partition(":")[0], fleet.port)
    writer.write(msgspec.json.encode(question) + b"\n")
    while True:
        message = msgspec.json.decode(await reader.readline())
        if message["type"] == "placed":
            writer.close()
            return message["engine"], message.get("kept", False)


async def check_placements(fleet: MixedFleet, router: int) -> None:
    """Check that prompts go to the engine that the controllers assigned, even if hashing would choose another one."""
    for number, upstream in enumerate(fleet.upstreams * 2):
        prefix_name = f"{PREFIX}-{router}-{number}"
        for controller in range(len(fleet.control)):
            assert await request_placement(fleet, controller, prefix_name, upstream.id) == (upstream.id, True)
        await until_routed_to(fleet, router, prefix_name, upstream)


async def until_routed_to(fleet: MixedFleet, router: int, prefix_name: str, upstream: Upstream) -> None:
    prefix = f"{prefix_name}:5000,own:1000"

    async def is_routed_there() -> bool:
        before = len(upstream.requests)
        reply = await fleet.post(router, "/plain/x", X_Token_Usage="6000,10", X_Prompt_Prefix=prefix)
        return reply.status == 200 and len(upstream.requests) > before

    await fleet.until(is_routed_there)


async def check_waiting_prompts(fleet: MixedFleet, router: int) -> None:
    """Check that every controller counts an unanswered long prompt as waiting until its client disconnects."""
    client = Client(fleet.fronts[router])
    call = asyncio.ensure_future(
        client.request(
            "POST", "/plain/unanswered", X_Request_Id="r", X_Api_Key="key", X_Token_Usage="70000,10"
        )
    )

    async def known() -> bool:
        return all([await waiting(controller) for controller in range(len(fleet.control))])

    async def over() -> bool:
        return not any([await waiting(controller) for controller in range(len(fleet.control))])

    async def waiting(controller: int) -> bool:
        return any(one["waiting_tokens"] for one in await fleet.read(controller, "/upstreams"))

    await fleet.until(known)
    call.cancel()
    client.close()
    await fleet.until(over)


async def check_quota(fleet: MixedFleet) -> None:
    """Check that the router gets quota from a controller.

    One of two routers may admit half of a burst if a controller coordinates both, but only a quarter on its own.
    """
    admitted = 0

    async def more_than_alone() -> bool:
        nonlocal admitted
        reply = await fleet.post(0, "/plain/x", X_Api_Key="few")
        assert reply.status in (200, 429)
        admitted += reply.status == 200
        return admitted > SMALL_BURST / 4 + 1

    await fleet.until(more_than_alone)


async def until_in_force(fleet: MixedFleet, router: int, path: str) -> None:
    async def in_force() -> bool:
        return (await fleet.post(router, path)).status == 200

    await fleet.until(in_force)


async def change_and_drain(fleet: MixedFleet, document: dict[str, Any], path: str) -> None:
    """Check that a new path comes into force, and that a draining upstream gets no more requests, at every router."""
    assert (await fleet.put(document, document["generation"] - 1)).status == 200
    for router in range(len(fleet.fronts)):
        await until_in_force(fleet, router, path)
    first, second = fleet.upstreams
    await fleet.send_heartbeats("s")
    await fleet.register(first, "s", "draining")
    before = len(first.requests), len(second.requests)
    for router in range(len(fleet.fronts)):
        for _ in range(5):
            assert (await fleet.post(router, "/plain/x")).status == 200
    assert (len(first.requests) - before[0], len(second.requests) - before[1]) == (0, 5 * len(fleet.fronts))


async def change_while_down(fleet: MixedFleet, number: int, document: dict[str, Any]) -> None:
    """Kill a controller, commit a change without it, and restart it. It may be the primary or a backup."""
    await fleet.kill(fleet.control[number])
    path = f"/later-{number}/"
    changed = {**document, "routes": [*document["routes"], route_to(path)]}
    assert (await fleet.put(changed, document["generation"] - 1)).status == 200
    for other in {0, 1, 2} - {number}:
        assert (await fleet.read(other, "/config"))["generation"] == document["generation"]
    await fleet.send_heartbeats("s")
    for router in range(len(fleet.fronts)):
        await until_in_force(fleet, router, path + "x")
    fleet.start_controller(number)


def route_to(path: str) -> dict[str, Any]:
    return {
        "name": path.strip("/"),
        "host": "a.example",
        "path_prefix": path,
        "kind": "idempotent",
        "timeout_ms": 2_000,
        "backend": "s",
    }


@pytest.mark.parametrize(
    ("controllers", "routers"),
    [
        ([OLD], [NEW, NEW]),
        ([NEW], [OLD, OLD]),
        ([OLD, NEW, NEW], [OLD, NEW]),
        ([NEW, OLD, OLD], [NEW, OLD]),
    ],
    ids="-".join,
)
def test_a_fleet_of_both_texts_serves(
    tmp_path: Path, earlier: Path, controllers: list[str], routers: list[str]
) -> None:
    fleet = MixedFleet(tmp_path, earlier, controllers, routers)

    async def scenario() -> None:
        await fleet.start()
        first = with_engines(1)
        assert (await fleet.put(first, 0)).status == 200
        for _ in range(2):
            await fleet.upstream("s", respond)
        await fleet.until_known()
        for router in range(len(routers)):
            await fleet.until_ready(router)
            await fleet.send_heartbeats("s")
            await check_service(fleet, router)
        await check_quota(fleet)
        # By now the routers have reported usage and failed calls. If a controller could not read these reports, the
        # change would not reach the routers.
        second = {**first, "generation": 2, "routes": [*first["routes"], route_to("/later/")]}
        await change_and_drain(fleet, second, "/later/x")
        await fleet.send_heartbeats("s")
        for number in range(len(controllers) if len(controllers) > 1 else 0):
            await change_while_down(fleet, number, {**first, "generation": 3 + number})

    run_scenario(fleet, scenario)


@pytest.mark.parametrize(("writer", "reader"), [(OLD, NEW), (NEW, OLD)])
def test_a_data_folder_is_read_by_the_other_version_and_then_by_its_own(
    tmp_path: Path, earlier: Path, writer: str, reader: str
) -> None:
    fleet = MixedFleet(tmp_path, earlier, [writer], [])
    files = tmp_path / fleet.control[0].partition(":")[0] / "replica"

    async def replace(version: str) -> None:
        await fleet.kill(fleet.control[0])
        fleet.versions[fleet.control[0]] = version
        fleet.start_controller(0)

    async def written() -> bool:
        await ask(fleet.control[0], "GET", "/status")
        hints = files / "upstreams.hint", files / "placements.hint"
        if not all(hint.exists() for hint in hints):
            return False
        upstreams, placements = (hint.read_bytes() for hint in hints)
        return all(one.id.encode() in upstreams for one in fleet.upstreams) and PREFIX.encode() in placements

    async def upstreams_known() -> list[tuple[str, str, str, int]]:
        known = await fleet.read(0, "/upstreams")
        return [(one["id"], one["service"], one["address"], one["sequence"]) for one in known]

    async def scenario() -> None:
        fleet.start_controller(0, bootstrap=True)
        assert (await fleet.put(with_engines(1), 0)).status == 200
        change = {"generation": 2, "routes": [route_to("/later/")]}
        assert (await fleet.put(change, 1, "PATCH")).status == 200
        fleet.upstreams = [Upstream(f"i-{n}", f"127.0.0.1:{n + 1}", respond_ok) for n in range(3)]
        await fleet.send_heartbeats("s")
        engine, kept = await request_placement(fleet, 0, PREFIX)
        assert engine in ("i-0", "i-1", "i-2")
        assert not kept
        await fleet.until(written)
        left = await fleet.read(0, "/config"), await upstreams_known(), (engine, True)
        assert left[0]["generation"] == 2
        assert [one[0] for one in left[1]] == ["i-0", "i-1", "i-2"]
        sequence = (await fleet.read(0, "/status"))["sequence"]
        await replace(reader)
        assert (
            await fleet.read(0, "/config"),
            await upstreams_known(),
            await request_placement(fleet, 0, PREFIX),
        ) == left
        assert (await fleet.read(0, "/status"))["sequence"] >= sequence
        assert (
            await fleet.put(change, 1, "PATCH")
        ).status == 200, "a repeated change is recognised as applied"
        assert await fleet.read(0, "/config") == left[0]
        third = {**left[0], "generation": 3}
        assert (await fleet.put(third, 2)).status == 200
        await replace(writer)
        assert await fleet.read(0, "/config") == third
        assert (await fleet.put(third, 2)).status == 200, "a repeated change is recognised as applied"
        assert (await upstreams_known(), await request_placement(fleet, 0, PREFIX)) == left[1:]

    run_scenario(fleet, scenario)
