"""The plugin by itself: several in one loop with their folders on a disk, mail that can be cut, and verdicts that are
edits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest
from larkweir_edits import replica as replica_module
from larkweir_edits.log import Calls

from larkweir.config.fleet_tables import Edits, Peers
from larkweir.config.operator import decode
from larkweir.config.options import Operator
from larkweir.config.platform import decode as decode_platform
from larkweir.coordination.duties.replicated import encode_state
from larkweir.coordination.duties.verdicts import State
from larkweir.coordination.edits.plugin import EditsPlugin, attach, begin
from larkweir.core.clock import Clock
from larkweir.routes.request_routing import Routes
from standins.peers import PATIENCE_S
from tests.fleet.services import platform
from tests.upstreams.test_attempts import run

NAMES = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
FILE = '[pool.new]\n[route.all]\npath = "/*"\nsplit = ["new 5%"]\n[route.a]\npath = "/a"\n'


class Post:
    """Items between hosts, in the loop's next turn."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.cut: set[str] = set()

    def send(self, source: str, to: str, item: bytes) -> bool:
        if to in self.hosts and not {source, to} & self.cut:
            host = self.hosts[to]
            asyncio.get_running_loop().call_soon(lambda: host.came(source, item))
        return True


class Host:
    """What the plugin needs of a balancer, with real routes."""

    def __init__(self, name: str, post: Post, folder: Path, text: str, **edits: Any) -> None:
        self.name, self.post, self.folder = name, post, folder
        self.lines: list[str] = []
        self.log, self.peers, self.is_open = self, self, True
        self.receiver: Callable[[str, bytes, float], None] | None = None
        self.edits: EditsPlugin | None = None
        self.owners: Any = None
        self.close_callbacks: list[Callable[[], None]] = []
        self.status_callbacks: list[Callable[[], dict[str, object]]] = []
        self.clock = Clock(asyncio.get_running_loop())
        self.config = decode_platform(platform(), {})
        self.options = self.read(text, **edits)
        self.applied = 0
        self.write = self.lines.append
        self.routes = Routes(begin(self, self.options), self.config, self.clock, self.lines.append)  # type: ignore[arg-type]
        attach(self, self.options)  # type: ignore[arg-type]
        post.hosts[name] = self

    def read(self, text: str, **edits: Any) -> Operator:
        options, faults = decode(text)
        assert not faults
        object.__setattr__(options, "peers", Peers(on=True, listen=self.name, peers=tuple(NAMES)))
        object.__setattr__(options, "edits", Edits(on=True, folder=str(self.folder), **edits))
        return options

    # The socket, as far as the plugin goes
    def open_channel(self, channel: int, came: Callable[[str, bytes, float], None]) -> Host:
        self.receiver = came
        return self

    def post_(self, to: str, item: bytes) -> bool:
        return self.post.send(self.name, to, item)

    def alive(self) -> Sequence[str]:
        return [name for name in self.post.hosts if name != self.name]

    def came(self, source: str, item: bytes) -> None:
        if self.receiver is not None:
            self.receiver(source, item, self.clock.now_ms())

    def reconfigure(self, config: Any, options: Operator | None = None) -> None:
        assert options is not None and self.edits is not None
        self.options, self.applied = options, self.applied + 1
        self.routes.reconfigure(self.edits.merged(options), config)

    @property
    def plugin(self) -> EditsPlugin:
        assert self.edits is not None
        return self.edits

    async def reload(self, text: str, **edits: Any) -> str:
        """Why not; empty where it counts."""
        done: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        options = self.read(text, **edits)

        def then(why: str) -> None:  # as the daemon: at once
            if not why:
                self.reconfigure(self.config, options)
            done.set_result(why)

        self.plugin.reload(options, then)
        async with asyncio.timeout(PATIENCE_S):
            return await done

    @property
    def said(self) -> dict[str, Any]:
        return {name: (row.path, row.split) for name, row in self.routes.router.routes.items()}


class _Mail:
    def __init__(self, host: Host) -> None:
        self.post, self.alive = host.post_, host.alive  # a channel


@pytest.fixture(autouse=True)
def mailed(monkeypatch: pytest.MonkeyPatch) -> None:
    real = Host.open_channel
    monkeypatch.setattr(
        Host, "open_channel", lambda self, channel, came: (real(self, channel, came), _Mail(self))[1]
    )


async def until(true: Callable[[], Any], what: str, hosts: Sequence[Host] = ()) -> None:
    try:
        async with asyncio.timeout(PATIENCE_S):
            while not true():
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(
            f"never came: {what}; {[(host.said, host.lines[-4:]) for host in hosts]}"
        ) from None


async def fleet(folder: Path, count: int = 3, **edits: Any) -> tuple[Post, list[Host]]:
    post = Post()
    hosts = [Host(NAMES[n], post, folder / str(n), FILE, **edits) for n in range(count)]
    await until(lambda: all(host.plugin.facts()["edits_state"] == "ok" for host in hosts), "all met", hosts)
    return post, hosts


class Owner:
    """The owners' plugin, at the process that owns the verdicts."""

    def __init__(self, term: int, number: int, *keys: str) -> None:
        self._held = (term, number, encode_state(State(1, (), tuple((key, "worse") for key in keys))))

    def owned_state(self, name: str) -> tuple[int, int, bytes] | None:
        return self._held if name == "verdicts" else None


def test_a_canary_the_fleet_has_ended_stays_ended_until_its_part_is_changed(tmp_path: Path) -> None:
    async def play() -> None:
        post, hosts = await fleet(tmp_path)
        first, second, third = hosts
        (key,) = first.routes.router.on_trial()
        post.cut.add(third.name)
        assert not await third.reload(
            FILE.replace('"/a"', '"/aa"').replace("5%", "6%")
        )  # had not seen the verdict
        first.owners = Owner(3, 7, key)
        ended = {"all": ("/*", ("new 0%",)), "a": ("/a", ())}
        await until(lambda: first.said == second.said == ended, "ended at both", hosts)
        assert not second.routes.router.on_trial()
        count = second.applied
        assert not await second.reload(
            FILE + '[route.b]\npath = "/b"\n'
        )  # says 5% still, and nothing new of it
        assert second.applied == count + 1  # one generation: the file's own, and what was merged
        assert second.said["all"] == ("/*", ("new 0%",))
        post.cut.clear()
        await until(
            lambda: all(
                host.said["all"][1] == ("new 0%",) and "b" in host.said and host.said["a"][0] == "/aa"
                for host in hosts
            ),
            "met",
            hosts,
        )
        assert any("new: ended by a verdict" in line for line in third.lines)

        assert not await second.reload(
            FILE.replace("5%", "7%") + '[route.b]\npath = "/b"\n'
        )  # it has seen it
        await until(lambda: all(host.said["all"][1] == ("new 7%",) for host in hosts), "begun anew", hosts)
        # An owner of an older term wakes up: its word on the new part changes nothing, nor does its old one again
        second.owners = Owner(2, 9, *second.routes.router.on_trial())
        edits = second.plugin.facts()["edits"]
        await asyncio.sleep(0.6)
        assert second.plugin.facts()["edits"] == edits and second.said["all"][1] == ("new 7%",)
        for host in hosts:
            host.plugin.close()

    run(play())


def test_one_that_was_away_for_longer_than_stated_comes_back_as_a_newcomer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it alone had edited is a proposal at all, until its staff say it anew."""
    monkeypatch.setattr(replica_module, "COLLECTION_INTERVAL_MS", 50.0)

    async def play() -> None:
        post, hosts = await fleet(tmp_path, away_ms=1_500.0)
        first, second, third = hosts
        post.cut.add(third.name)
        assert not await third.reload(FILE.replace('"/a"', '"/third"'))
        assert third.said["a"][0] == "/third"  # at once, where it was written
        assert not await first.reload(FILE + '[route.b]\npath = "/b"\n')
        await until(
            lambda: all(
                not host.plugin.facts()["edits_waiting"] and "b" in host.said for host in (first, second)
            ),
            "gone into the base without the third",
            hosts,
        )
        assert NAMES[2] in first.plugin.replica.away(first.clock.now_ms())
        for host in hosts:  # a slow machine makes nobody else a newcomer
            host.plugin.replica._others._away_ms = 600_000.0
        post.cut.clear()
        await until(
            lambda: all(host.said["a"][0] == "/a" and "b" in host.said for host in hosts),
            "as the others",
            hosts,
        )
        await until(
            lambda: all("route.a.match" in str(host.plugin.facts()["edits_of"]) for host in hosts),
            "told",
            hosts,
        )
        assert any("route.a.match: proposal" in line and "/third" in line for line in first.lines)
        text = FILE.replace('"/a"', '"/third"')
        assert not await third.reload(text, settle=("route.a.path",))
        await until(lambda: all(host.said["a"][0] == "/third" for host in hosts), "said anew", hosts)
        await until(lambda: all(host.plugin.facts()["edits_told"] == 0 for host in hosts), "settled", hosts)
        for host in hosts:
            host.plugin.close()

    run(play())


def test_a_route_deleted_here_and_edited_there_stays_and_a_named_pool_with_it(tmp_path: Path) -> None:
    async def play() -> None:
        post, hosts = await fleet(tmp_path, 2)
        first, second = hosts
        post.cut.add(second.name)
        assert not await first.reload(
            '[route.all]\npath = "/*"\n'
        )  # the canary, its pool and route a are gone
        assert first.said == {"all": ("/*", ())}
        assert not await second.reload(FILE.replace('path = "/a"', 'path = "/a"\npool = "new"'))
        post.cut.clear()
        await until(lambda: first.said == second.said and "a" in first.said, "met", hosts)
        assert first.routes.router.routes["a"].pool == "new" and first.said["all"] == ("/*", ())
        of = str(first.plugin.facts()["edits_of"])
        assert of == second.plugin.facts()["edits_of"] and "pool.new" in of and "route.a" in of
        assert not await first.reload(
            '[route.all]\npath = "/*"\n', settle=("route.a",)
        )  # to be gone, it has looked
        await until(lambda: first.said == second.said == {"all": ("/*", ())}, "gone", hosts)
        await until(lambda: second.plugin.facts()["edits_told"] == 0, "settled", hosts)
        for host in hosts:
            host.plugin.close()

    run(play())


def test_no_route_left_is_the_default_pool_for_all(tmp_path: Path) -> None:
    async def play() -> None:
        _, hosts = await fleet(tmp_path, 2)
        assert not await hosts[0].reload("")
        await until(lambda: [list(host.said) for host in hosts] == [["all"], ["all"]], "none", hosts)
        assert hosts[1].routes.router.routes["all"].path == "" and not await hosts[1].reload(FILE)
        for host in hosts:
            host.plugin.close()

    run(play())


class Failing(Calls):
    def __init__(self) -> None:
        self.wrong = False

    def flush(self, number: int) -> None:
        if self.wrong:
            raise OSError(5, "Input/output error")
        super().flush(number)


def test_a_flush_that_fails_refuses_the_reload_and_all_is_written_anew_before_it_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record may be on the disk or not: nothing of it counts before the whole was written once more."""
    monkeypatch.setattr("larkweir.coordination.edits.plugin.REPAIR_RETRY_MS", 50.0)

    async def play() -> None:
        _, hosts = await fleet(tmp_path, 2)
        first, second = hosts
        calls = Failing()
        first.plugin._folder.calls = calls
        disk = first.plugin._file_log
        assert disk is not None
        disk._calls = calls
        calls.wrong = True
        text = FILE.replace('"/a"', '"/new"')
        why = await first.reload(text)
        assert "Input/output error" in why and first.said["a"][0] == second.said["a"][0] == "/a"
        assert "Input" in await first.reload(text)
        await until(lambda: sum("Input/output" in line for line in first.lines) >= 1, "told", hosts)
        calls.wrong = False
        await until(lambda: any("can be written again" in line for line in first.lines), "mended", hosts)
        assert not await first.reload(text)
        await until(lambda: second.said["a"][0] == "/new" == first.said["a"][0], "counts", hosts)
        (log,) = [path.name for path in (tmp_path / "0").iterdir() if path.suffix == ".log"]
        assert log != "0.log"  # written anew
        for host in hosts:
            host.plugin.close()

    run(play())


def test_a_folder_that_was_lost_takes_no_edit_before_another_copy_was_heard(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its file has moved on: an edit on that base would be one that no other can take, for ever."""
    monkeypatch.setattr(
        "larkweir.coordination.edits.reloads.FLUSH_MS", 1000.0 * PATIENCE_S
    )  # a disk may be slow

    async def play() -> None:
        post, hosts = await fleet(tmp_path, 2)
        first, second = hosts
        assert not await first.reload(FILE.replace('"/a"', '"/aa"'))
        await until(lambda: second.said["a"][0] == "/aa", "the edit", hosts)
        first.plugin.close()
        post.cut.add(NAMES[0])
        text = FILE.replace('"/a"', '"/moved"') + '[route.b]\npath = "/b"\n'
        again = Host(NAMES[0], post, tmp_path / "lost", text)
        await until(lambda: again.plugin.facts()["edits_state"] == "alone", "its folder", [again])
        with (
            monkeypatch.context() as impatient
        ):  # its folder is open: the one thing that it waits for never comes
            impatient.setattr("larkweir.coordination.edits.reloads.FLUSH_MS", 100.0)
            assert "no other balancer was heard" in await again.reload(text + '[route.c]\npath = "/c"\n')
        post.cut.clear()
        await until(
            lambda: again.said["a"][0] == "/aa" and "b" not in again.said, "what the other has", [again]
        )
        assert again.plugin.facts()["edits_differs"] == 2 and not second.plugin.facts()["edits_told"]
        assert not await again.reload(text + '[route.c]\npath = "/c"\n')
        await until(
            lambda: "c" in second.said and "c" in again.said, "its next edit at both", [again, second]
        )
        assert second.said["a"][0] == "/aa"  # what its file said before is no edit
        again.plugin.close()
        second.plugin.close()

    run(play())


def test_held_for_a_successor_it_edits_nothing_and_goes_on_where_the_successor_is_given_up(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        post, hosts = await fleet(tmp_path, 2)
        first, second = hosts
        assert not await second.reload(FILE.replace('"/a"', '"/aa"'))
        await until(lambda: first.said["a"][0] == "/aa", "the other's edit", hosts)
        first.plugin.set_handed_over(True)
        assert "a successor goes on" in await first.reload(FILE + '[route.b]\npath = "/b"\n')
        successor = Host(NAMES[0], post, tmp_path / "0", FILE)
        assert successor.said["a"][0] == "/aa"  # before its first turn: by the folder, whatever its file says
        await until(lambda: successor.plugin.facts()["edits_state"] == "ok", "the folder", hosts)
        assert not await successor.reload(FILE + '[route.b]\npath = "/b"\n')
        assert successor.plugin.replica.writer != first.plugin.replica.writer
        await until(lambda: "b" in second.said, "its edit", hosts)
        successor.plugin.close()
        post.hosts[NAMES[0]] = first
        first.plugin.set_handed_over(False)
        await until(lambda: "b" in first.said, "what the successor wrote", hosts)
        for host in hosts:
            host.plugin.close()

    run(play())
