"""Golden bytes of one controller: its hint files, HTTP responses and messages, as literal text.

The address differs in each run and the incarnation in each start, so they are replaced with `IP` and `LIFE`.
"""

from __future__ import annotations

import asyncio
import re
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest.mock import patch

import pytest
from larkweir_replication.journal_files import FolderFiles

from larkweir.controller import operator_api
from larkweir.controller.instances_api import MAX_HEARTBEAT_BYTES
from standins.peers import PATIENCE_S
from tests.system.loopback import Fleet, ask, run_scenario

FIRST_HEARTBEAT = (
    b'{"backend":"s","address":"10.0.0.9:80","zone":"z1","sequence":5,"state":"ready","slots":4,"new":1}'
)
SECOND_HEARTBEAT = b'{"backend":"s","address":"10.0.0.8:80","zone":"z2","sequence":3}'
DRAINING_HEARTBEAT = (
    b'{"backend":"s","address":"10.0.0.9:80","zone":"z1","sequence":6,"state":"draining","slots":4}'
)
CONFIGURATION = (
    b'{"generation":3,"routes":[{"name":"r","host":"a.example","path_prefix":"/","kind":"idempotent",'
    b'"timeout_ms":2000,"backend":"s"}],"services":[{"name":"s","max_conns":10}],'
    b'"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":30,"burst":12}]}'
)
UPSTREAMS_HINT = (
    b'a3678024 [{"id":"u1","service":"s","address":"10.0.0.9:80","zone":"z1","slots":4,"sequence":5,"state":0,'
    b'"lapsed":-1},{"id":"u2","service":"s","address":"10.0.0.8:80","zone":"z2","slots":1,"sequence":3,"state":0,'
    b'"lapsed":-1}]'
)
PLACEMENTS_HINT = b'{"h1":"u1","h2":"u2","h3":"u2"}'
STATUS = (
    b'{"node":"IP","role":"primary","primary":"IP","epoch":1,"sequence":1,"members":["IP"],'
    b'"changing_members":false,"linked":[],"configuration":1,"upstreams_ready":2,"routers":[]}'
)
UPSTREAMS = (
    b'[{"id":"u3","service":"","address":"","zone":"","state":"gone","silent":false,"sequence":0,"waiting_tokens":0},'
    b'{"id":"u1","service":"s","address":"10.0.0.9:80","zone":"z1","state":"draining","silent":false,"sequence":6,'
    b'"waiting_tokens":0},{"id":"u2","service":"s","address":"10.0.0.8:80","zone":"z2","state":"ready",'
    b'"silent":false,"sequence":3,"waiting_tokens":0}]'
)
RECORDS = (
    b'"records":[[{"id":"u1","service":"s","address":"10.0.0.9:80","zone":"z1","slots":4,"sequence":5,"state":0,'
    b'"lapsed":-1},"IP/LIFE",1],[{"id":"u2","service":"s","address":"10.0.0.8:80","zone":"z2","slots":1,"sequence":3,'
    b'"state":0,"lapsed":-1},"IP/LIFE",2]],"vector":{"IP/LIFE":2}'
)
METRICS = b"""\
# HELP larkweir_primary 1 where this controller is the primary
# TYPE larkweir_primary gauge
larkweir_primary 1.0
# HELP larkweir_epoch epoch that this controller has promised
# TYPE larkweir_epoch gauge
larkweir_epoch 1.0
# HELP larkweir_sequence sequence of the last committed state
# TYPE larkweir_sequence gauge
larkweir_sequence 1.0
# HELP larkweir_members controllers that vote
# TYPE larkweir_members gauge
larkweir_members 1.0
# HELP larkweir_linked_controllers controllers that this one has a connection to
# TYPE larkweir_linked_controllers gauge
larkweir_linked_controllers 0.0
# HELP larkweir_routers routers that are connected
# TYPE larkweir_routers gauge
larkweir_routers 0.0
# HELP larkweir_router_lag_max sequences that the oldest configuration of a router is behind
# TYPE larkweir_router_lag_max gauge
larkweir_router_lag_max 0.0
# HELP larkweir_upstreams_ready upstreams that are ready and heard of
# TYPE larkweir_upstreams_ready gauge
larkweir_upstreams_ready 1.0
# HELP larkweir_upstreams_silent upstreams whose heartbeats have stopped
# TYPE larkweir_upstreams_silent gauge
larkweir_upstreams_silent 0.0
# HELP larkweir_waiting_tokens prompt tokens that wait to be read
# TYPE larkweir_waiting_tokens gauge
larkweir_waiting_tokens 0.0
# HELP larkweir_quota_share fraction of all quotas that this controller hands out
# TYPE larkweir_quota_share gauge
larkweir_quota_share 1.0
"""

Scenario = Callable[[Fleet], Awaitable[None]]


def run_with_one_controller(folder: Path, scenario: Scenario, answer_timeout_s: float = PATIENCE_S) -> None:
    """Runs a scenario with one controller that is a majority by itself.

    While the disk is busy with other work, the controller may correctly answer a change with 503 after 0.9 s. Scenarios
    that test other answers use a longer time-out, so that the controller waits for its disk.
    """
    with patch.object(operator_api, "ANSWER_TIMEOUT_S", answer_timeout_s):
        run_scenario(folder, scenario, controllers=1, routers=0, tolerance=0)


def replica_folder(fleet: Fleet) -> Path:
    return fleet.folder / address_of(fleet) / "replica"


def address_of(fleet: Fleet) -> str:
    return fleet.control[0].partition(":")[0]


def normalize(fleet: Fleet, data: bytes) -> bytes:
    """Replaces the address and the incarnation of the controller, which differ in each run."""
    data = data.replace(address_of(fleet).encode(), b"IP")
    return re.sub(rb"IP/[0-9a-f]{12}", b"IP/LIFE", data)


async def request(
    fleet: Fleet, method: str, target: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes]:
    reply = await ask(fleet.control[0], method, target, body, **headers)
    return reply.status, normalize(fleet, reply.body)


async def wait_until_primary(fleet: Fleet) -> None:
    """Waits until the controller answers reads of the configuration as the primary."""

    async def answers_reads() -> bool:
        return (await request(fleet, "GET", "/config"))[0] in (200, 404)

    await fleet.until(answers_reads)


async def wait_for_quota_share(fleet: Fleet) -> None:
    """Waits until the controller holds the full share of all quotas."""

    async def holds_share() -> bool:
        reply = await ask(fleet.control[0], "GET", "/metrics")
        return b"larkweir_quota_share 1.0" in reply.body

    await fleet.until(holds_share)


async def wait_for_file(path: Path, expected: bytes) -> None:
    """Waits until the file has the expected bytes; fails with the actual bytes after a time-out."""
    for _ in range(400):
        if path.exists() and path.read_bytes() == expected:
            return
        await asyncio.sleep(0.01)
    assert path.read_bytes() == expected


class Peer:
    """A process that connects to the controller and sends messages as literal lines."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def __aenter__(self) -> Peer:
        self.reader, self.writer = await asyncio.open_connection(address_of(self.fleet), self.fleet.port)
        self.pings = asyncio.create_task(self.ping())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.pings.cancel()
        self.writer.close()

    async def ping(self) -> None:
        """Keeps the connection alive even if the test is slow."""
        while True:
            await asyncio.sleep(0.2)
            self.send(b'{"type":"ping"}')

    def send(self, line: bytes) -> None:
        self.writer.write(line + b"\n")

    async def receive(self, kind: bytes) -> bytes:
        """Returns the next message of this type and skips all others."""
        async with asyncio.timeout(5.0):
            while not (line := await self.reader.readline()).startswith(b'{"type":"%s"' % kind):
                assert line, "the connection ended"
        return normalize(self.fleet, line)


async def send_heartbeats(fleet: Fleet) -> None:
    assert await request(fleet, "PUT", "/instances/u1", FIRST_HEARTBEAT) == (200, b"{}")
    assert await request(fleet, "PUT", "/instances/u2", SECOND_HEARTBEAT) == (200, b"{}")


async def request_placements(router: Peer) -> list[bytes]:
    found = []
    for head in (b"h1", b"h2", b"h3", b"h3"):
        known = b',"known":"u2"' if head == b"h3" else b""
        router.send(b'{"type":"place","service":"s","head":"%s","tokens":5000.0%s}' % (head, known))
        found.append(await router.receive(b"placed"))
    router.send(b'{"type":"place","service":"nobody","head":"h9","tokens":5000.0,"known":null}')
    found.append(await router.receive(b"placed"))
    return found


def test_hint_files_and_placements(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await send_heartbeats(fleet)
        async with Peer(fleet) as router:
            router.send(b'{"type":"hello","node":"r","kind":"router","life":"l"}')
            assert await request_placements(router) == [
                b'{"type":"placed","head":"h1","engine":"u1","kept":false}\n',
                b'{"type":"placed","head":"h2","engine":"u2","kept":false}\n',
                b'{"type":"placed","head":"h3","engine":"u2","kept":true}\n',
                b'{"type":"placed","head":"h3","engine":"u2","kept":true}\n',
                b'{"type":"placed","head":"h9","engine":null,"kept":false}\n',
            ]
        folder = replica_folder(fleet)
        await wait_for_file(folder / "upstreams.hint", UPSTREAMS_HINT)
        await wait_for_file(folder / "placements.hint", PLACEMENTS_HINT)
        assert sorted(path.name for path in folder.iterdir()) == [
            "placements.hint",
            "replica.log",
            "upstreams.hint",
        ]

    run_with_one_controller(tmp_path, scenario)


def test_hint_files_of_an_earlier_incarnation_are_read(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await fleet.kill(fleet.control[0])
        folder = replica_folder(fleet)
        (folder / "upstreams.hint").write_bytes(UPSTREAMS_HINT)
        (folder / "placements.hint").write_bytes(PLACEMENTS_HINT)
        fleet.start_controller(0)
        await wait_until_primary(fleet)
        async with Peer(fleet) as router:
            router.send(b'{"type":"hello","node":"r","kind":"router","life":"l"}')
            router.send(b'{"type":"place","service":"s","head":"h3","tokens":5000.0}')
            placed = await router.receive(b"placed")
            assert placed == b'{"type":"placed","head":"h3","engine":"u2","kept":true}\n'
            router.send(b'{"type":"pull","vector":{}}')
            delta = await router.receive(b"delta")
            assert delta == b'{"type":"delta",' + RECORDS + b',"controllers":["IP"],"grants_quotas":false}\n'

    run_with_one_controller(tmp_path, scenario)


@pytest.mark.parametrize(
    ("name", "data"),
    [("upstreams.hint", UPSTREAMS_HINT[:-1]), ("placements.hint", PLACEMENTS_HINT[:-1])],
    ids=["upstreams", "placements"],
)
def test_a_damaged_hint_file_is_ignored(name: str, data: bytes, tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await fleet.kill(fleet.control[0])
        (replica_folder(fleet) / name).write_bytes(data)
        fleet.start_controller(0)
        await wait_until_primary(fleet)
        assert await request(fleet, "GET", "/upstreams") == (200, b"[]")
        await send_heartbeats(fleet)
        async with Peer(fleet) as router:
            router.send(b'{"type":"place","service":"s","head":"h3","tokens":5000.0}')
            placed = await router.receive(b"placed")
            assert placed == b'{"type":"placed","head":"h3","engine":"u1","kept":false}\n'

    run_with_one_controller(tmp_path, scenario)


def test_answers_to_operators(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        assert await request(fleet, "GET", "/config") == (404, b'{"error":"there is no configuration yet"}')
        missing_base = b'{"error":"If-Match: the version that the change builds on is needed"}'
        assert await request(fleet, "PUT", "/config", CONFIGURATION) == (400, missing_base)
        assert await request(fleet, "PUT", "/config", b"\xff", If_Match="0") == (
            400,
            b'{"error":"the body is no UTF-8"}',
        )
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match='"0"') == (200, b"{}")
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0") == (200, b"{}")
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="7") == (
            412,
            b'{"error":"the version in place is 3, not 7"}',
        )
        assert await request(fleet, "PATCH", "/config", b"[]", If_Match="3") == (
            400,
            b'{"error":"the body is no object"}',
        )
        assert await request(fleet, "GET", "/config?x=1") == (200, CONFIGURATION)
        for method, target, status in [
            ("DELETE", "/config", 405),
            ("POST", "/instances/u1", 405),
            ("PUT", "/instances/", 404),
            ("PUT", "/status", 404),
            ("GET", "/nothing", 404),
        ]:
            assert await request(fleet, method, target) == (status, b"")

    run_with_one_controller(tmp_path, scenario)


def test_a_change_delayed_by_the_disk_has_an_unknown_outcome_and_a_retry_applies_it_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk_released = threading.Event()
    disk_released.set()
    append = FolderFiles.append

    def append_when_released(self: FolderFiles, name: str, offset: int, data: bytes) -> None:
        assert disk_released.wait(PATIENCE_S)
        append(self, name, offset, data)

    monkeypatch.setattr(FolderFiles, "append", append_when_released)

    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        disk_released.clear()
        answer = await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0")
        disk_released.set()
        assert answer == (503, b'{"error":"no primary answers"}')
        with patch.object(operator_api, "ANSWER_TIMEOUT_S", PATIENCE_S):
            assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0") == (200, b"{}")
            assert await request(fleet, "GET", "/config") == (200, CONFIGURATION)
        assert b'"sequence":1,' in (await request(fleet, "GET", "/status"))[1]

    run_with_one_controller(tmp_path, scenario, answer_timeout_s=0.2)


def test_answers_to_upstreams_and_their_status(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await wait_for_quota_share(fleet)
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0") == (200, b"{}")
        await send_heartbeats(fleet)
        assert await request(fleet, "GET", "/status") == (200, STATUS)
        assert await request(fleet, "PUT", "/instances/u1", DRAINING_HEARTBEAT) == (200, b"{}")
        assert await request(fleet, "DELETE", "/instances/u3") == (200, b"{}")
        assert await request(fleet, "PUT", "/instances/u2", b" " * (MAX_HEARTBEAT_BYTES + 1)) == (413, b"")
        missing = b'{"error":"Object missing required field `backend`"}'
        assert await request(fleet, "PUT", "/instances/u2", b"{}") == (400, missing)
        odd = SECOND_HEARTBEAT.replace(b"}", b',"state":"odd"}')
        unknown = b'{"error":"Invalid enum value \'odd\' - at `$.state`"}'
        assert await request(fleet, "PUT", "/instances/u2", odd) == (400, unknown)
        assert await request(fleet, "GET", "/upstreams") == (200, UPSTREAMS)
        reply = await ask(fleet.control[0], "GET", "/metrics")
        assert (reply.status, reply.body) == (200, METRICS)
        assert {name: reply.headers[name] for name in sorted(reply.headers)} == {
            "content-length": str(len(METRICS)),
            "content-type": "text/plain; version=0.0.4",
        }

    run_with_one_controller(tmp_path, scenario)


def test_answers_without_a_majority(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        for address in fleet.control[1:]:
            await fleet.kill(address)

        async def serves() -> bool:
            return (await request(fleet, "GET", "/status"))[0] == 200

        await fleet.until(serves)
        no_majority = (503, b'{"error":"no majority of controllers is in reach"}')
        assert await request(fleet, "PUT", "/instances/u1", FIRST_HEARTBEAT) == no_majority
        assert await request(fleet, "PUT", "/instances/u1", DRAINING_HEARTBEAT) == no_majority
        assert await request(fleet, "DELETE", "/instances/u1") == no_majority
        no_primary = (503, b'{"error":"no primary answers"}')
        assert await request(fleet, "GET", "/config") == no_primary
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0") == no_primary
        async with Peer(fleet) as controller:
            controller.send(b'{"type":"forward","ticket":7,"command":null}')
            assert await controller.receive(b"forwarded") == (
                b'{"type":"forwarded","ticket":7,"status":0,"detail":"","value":""}\n'
            )

    run_scenario(tmp_path, scenario, controllers=3, routers=0)


def test_messages_to_a_router(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await wait_for_quota_share(fleet)
        assert await request(fleet, "PUT", "/config", CONFIGURATION, If_Match="0") == (200, b"{}")
        await send_heartbeats(fleet)
        async with Peer(fleet) as router, Peer(fleet) as other:
            router.send(b'{"type":"hello","node":"r","kind":"router","life":"l"}')
            other.send(b'{"type":"hello","node":"o","kind":"router","life":"m"}')
            other.send(b'{"type":"pull","vector":{},"waiting":{"u1":8000,"u2":4000}}')
            await other.receive(b"delta")
            other.send(b'{"type":"waiting","tokens":{"u1":9000,"u2":3999}}')
            other.send(b'{"type":"place","service":"s","head":"h1","tokens":5.0}')
            await other.receive(b"placed")  # after this answer the controller has read the line before
            router.send(b'{"type":"pull","vector":{},"usage":{"t":4.0},"sent_ms":5.0}')
            assert await router.receive(b"delta") == (
                b'{"type":"delta","config":{"sequence":1,"base":-1,"body":'
                + CONFIGURATION
                + b"},"
                + RECORDS
                + b',"controllers":["IP"],"routers":2,"quotas":{"t":[12,0,false]},"waiting":{"u1":9000},'
                + b'"grants_quotas":true}\n'
            )
            patch = b'{"generation":4,"upsert":{"services":[{"name":"s2"}]}}'
            assert await request(fleet, "PATCH", "/config", patch, If_Match="3") == (200, b"{}")
            router.send(b'{"type":"pull","config":1}')
            assert await router.receive(b"delta") == (
                b'{"type":"delta","config":{"sequence":2,"base":1,"body":{"upsert":{"services":[{"name":"s2"}]},'
                b'"remove":{},"generation":4}},'
                + RECORDS
                + b',"routers":2,"waiting":{"u1":9000},"grants_quotas":true}\n'
            )
            router.send(b'{"type":"pull","config":2,"vector":{"x":1}}')
            assert await router.receive(b"delta") == (
                b'{"type":"delta",' + RECORDS + b',"routers":2,"waiting":{"u1":9000},"grants_quotas":true}\n'
            )
            assert await router.receive(b"ping") == b'{"type":"ping"}\n'

    run_with_one_controller(tmp_path, scenario)


def test_messages_to_another_controller(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await wait_until_primary(fleet)
        await wait_for_quota_share(fleet)
        async with Peer(fleet) as controller:
            controller.send(b'{"type":"hello","node":"IP2","kind":"controller","life":"l"}')
            controller.send(
                b'{"type":"forward","ticket":5,"command":{"identity":"i","base":0,'
                b'"text":"{\\"patch\\":false,\\"base\\":0,\\"body\\":\\"[]\\"}"}}'
            )
            assert await controller.receive(b"forwarded") == (
                b'{"type":"forwarded","ticket":5,"status":400,"detail":"the body is no object","value":""}\n'
            )
            controller.send(
                b'{"type":"forward","ticket":6,"command":{"identity":"j","base":0,'
                b'"text":"{\\"patch\\":false,\\"base\\":0,\\"body\\":\\"{\\\\\\"generation\\\\\\":1,'
                b'\\\\\\"routes\\\\\\":[],\\\\\\"services\\\\\\":[]}\\"}"}}'
            )
            assert await controller.receive(b"forwarded") == (
                b'{"type":"forwarded","ticket":6,"status":200,"detail":"","value":""}\n'
            )
            controller.send(b'{"type":"forward","ticket":7,"command":null}')
            assert await controller.receive(b"forwarded") == (
                b'{"type":"forwarded","ticket":7,"status":200,"detail":"",'
                b'"value":"{\\"generation\\":1,\\"routes\\":[],\\"services\\":[]}"}\n'
            )
            controller.send(b'{"type":"heard","sequences":{"u9":4}}')
            controller.send(
                b'{"type":"delta","records":[[{"id":"u9","service":"s","address":"10.0.0.7:80","zone":"z",'
                b'"slots":1,"sequence":4,"state":0,"lapsed":-1},"other/1",8]],"vector":{"other/1":8}}'
            )
            claim = b'"quota_claim":[[1,"IP"],1000000,0]'
            assert await controller.receive(b"pull") == (
                b'{"type":"pull","vector":{"other/1":8},' + claim + b"}\n"
            )
            controller.send(b'{"type":"delta"}')
            assert await controller.receive(b"pull") == b'{"type":"pull",' + claim + b"}\n"

    run_with_one_controller(tmp_path, scenario)
