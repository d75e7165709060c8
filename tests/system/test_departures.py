"""Departures of upstreams that were acknowledged, and what a kill of all controllers leaves of them."""

from __future__ import annotations

import errno
from pathlib import Path

import msgspec
import pytest
from larkweir_replication.journal_files import FolderFiles

from tests.system.loopback import Fleet, ask, events, run_scenario

UPSTREAMS = 8


class RefusingDisks:
    """Disks of the controllers at some addresses, which refuse every write until `mend` is called."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._refusing: set[str] = set()
        append = FolderFiles.append

        def refuse(files: FolderFiles, name: str, offset: int, data: bytes) -> None:
            if any(f"/{ip}/" in files._folder for ip in self._refusing):
                raise OSError(errno.ENOSPC, "no space left")
            append(files, name, offset, data)

        monkeypatch.setattr(FolderFiles, "append", refuse)

    def refuse(self, addresses: list[str]) -> None:
        self._refusing = {address.partition(":")[0] for address in addresses}

    def mend(self) -> None:
        self._refusing = set()


async def register(fleet: Fleet) -> list[str]:
    """Register upstreams and return their ids, once every controller knows them."""
    ids = [
        (await fleet.upstream("s", lambda request: (events(request, range(1)), False))).id
        for _ in range(UPSTREAMS)
    ]
    await until_all_show(fleet, dict.fromkeys(ids, "ready"))
    return ids


async def states(address: str) -> dict[str, str]:
    """Return the states of all upstreams as a controller knows them; empty if it does not answer."""
    reply = await ask(address, "GET", "/upstreams")
    if reply.status != 200:
        return {}
    return {upstream["id"]: upstream["state"] for upstream in msgspec.json.decode(reply.body)}


async def until_all_show(fleet: Fleet, expected: dict[str, str]) -> None:
    """Wait until all controllers show the same states."""

    async def all_show() -> bool:
        return all([await states(address) == expected for address in fleet.control])

    await fleet.until(all_show)


async def restart_controllers(fleet: Fleet) -> None:
    """Kill all controllers at the same moment, and start them again with their disks."""
    for address in fleet.control:
        await fleet.kill(address)
    for number in range(len(fleet.control)):
        fleet.start_controller(number)


async def until_departed(fleet: Fleet, id_: str, state: str) -> None:
    """Report a departure to the first controller until it is acknowledged."""

    async def is_acknowledged() -> bool:
        return await depart(fleet, id_, state) == 200

    await fleet.until(is_acknowledged)


async def depart(fleet: Fleet, id_: str, state: str) -> int:
    """Report a departure to the first controller; return the status."""
    if state == "gone":
        return (await ask(fleet.control[0], "DELETE", f"/instances/{id_}")).status
    upstream = next(upstream for upstream in fleet.upstreams if upstream.id == id_)
    body = upstream.heartbeat("s", state)
    return (await ask(fleet.control[0], "PUT", f"/instances/{id_}", body)).status


@pytest.mark.parametrize("state", ["gone", "draining"])
@pytest.mark.parametrize("refusing", [(1, 2), (0, 1)], ids=["others", "own-and-other"])
def test_a_departure_that_no_majority_has_on_disk_is_not_acknowledged(
    state: str, refusing: tuple[int, int], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against departures that are acknowledged from memory and forgotten with all processes (review/3).
    disks = RefusingDisks(monkeypatch)

    async def scenario(fleet: Fleet) -> None:
        first, *others = await register(fleet)
        disks.refuse([fleet.control[number] for number in refusing])
        assert await depart(fleet, first, state) == 503
        disks.mend()
        await until_departed(fleet, first, state)
        await restart_controllers(fleet)
        await until_all_show(fleet, dict.fromkeys(others, "ready") | {first: state})

    run_scenario(tmp_path, scenario, controllers=3, routers=0)


def test_one_refusing_disk_does_not_keep_a_departure_from_being_acknowledged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disks = RefusingDisks(monkeypatch)

    async def scenario(fleet: Fleet) -> None:
        first, *others = await register(fleet)
        disks.refuse([fleet.control[0]])
        assert await depart(fleet, first, "gone") == 200
        await restart_controllers(fleet)
        await until_all_show(fleet, dict.fromkeys(others, "ready") | {first: "gone"})

    run_scenario(tmp_path, scenario, controllers=3, routers=0)


def test_acknowledged_departures_survive_kills_of_all_controllers_right_after_them(tmp_path: Path) -> None:
    # Guards against a file of upstreams that is written after the acknowledgement (review/3).
    async def scenario(fleet: Fleet) -> None:
        expected = dict.fromkeys(await register(fleet), "ready")
        for number, id_ in enumerate(list(expected)):
            expected[id_] = "gone" if number % 2 else "draining"
            await until_departed(fleet, id_, expected[id_])
            await restart_controllers(fleet)
            await until_all_show(fleet, expected)

    run_scenario(tmp_path, scenario, controllers=3, routers=0)


def test_a_departure_that_another_controller_recorded_is_acknowledged_for_its_own_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a wait for this controller's own latest record in place of the one of the upstream.
    disks = RefusingDisks(monkeypatch)

    async def scenario(fleet: Fleet) -> None:
        first, *others = await register(fleet)
        disks.refuse(fleet.control[1:])
        assert (await ask(fleet.control[1], "DELETE", f"/instances/{first}")).status == 503
        await until_all_show(fleet, dict.fromkeys(others, "ready") | {first: "gone"})
        assert await depart(fleet, first, "gone") == 503

    run_scenario(tmp_path, scenario, controllers=3, routers=0)
