"""FastCGI in the real process: Unix and TCP sockets over start, handover and stop, and upstreams by their kind."""

from __future__ import annotations

import asyncio
import signal
import socket
import stat
from pathlib import Path

import pytest

from larkweir.config.options import Fastcgi
from standins import fastcgi as f
from standins.peers import PATIENCE_S, Caller, FakeUpstream, request_bytes
from standins.ports import free_port
from tests.fakes import running
from tests.lifecycle.service import alive, service, until
from tests.upstreams.test_attempts import run


async def ask(path: str | int) -> f.peers.Answer:
    if isinstance(path, int):
        reader, writer = await asyncio.open_connection("127.0.0.1", path)
    else:
        reader, writer = await asyncio.open_unix_connection(path)
    writer.write(f.ask(request_bytes(), 1))
    async with asyncio.timeout(PATIENCE_S):
        _, _, answer = await f.read_answers(reader, {})
    writer.close()
    return answer


def test_fastcgi_sockets_are_opened_handed_over_and_removed(tmp_path: Path) -> None:
    """A file left by a life that was killed is replaced; the successor inherits the sockets, opens what the new
    file names, and removes the files at its end.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            path, port = str(tmp_path / "s.sock"), free_port()
            with socket.socket(socket.AF_UNIX) as left:
                left.bind(path)  # nobody listens there
            rows = it.operator_path.read_text()
            it.operator_path.write_text(rows + f'[fastcgi]\nlisten = ["unix:{path}", "127.0.0.1:{port}"]\n')
            await it.start()
            for at in (path, port):
                assert (await ask(at)).body == b"served"
            more = free_port()
            it.operator_path.write_text(
                rows + f'[fastcgi]\nlisten = ["unix:{path}", "127.0.0.1:{port}", "127.0.0.1:{more}"]\n'
            )
            it.signal(signal.SIGUSR2)
            child = await it.successor()
            assert await it.ended() == 0
            for item in (path, port, more):
                assert (await ask(item)).body == b"served"
            assert (await it.ask())[0] == 200
            it.signal(signal.SIGTERM, child)
            await until(lambda: not alive(child), "the end")
            assert not Path(path).exists()
        upstream.close()

    run(work())


@pytest.mark.parametrize("what", ["a file", "somebody listens"])
def test_a_unix_path_that_is_taken_is_one_line(tmp_path: Path, what: str) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream) as it:
            path = tmp_path / "taken"
            other = socket.socket(socket.AF_UNIX)
            if what == "a file":
                path.write_text("precious")
            else:
                other.bind(str(path))
                other.listen(1)
            it.operator_path.write_text(f'[fastcgi]\nlisten = ["unix:{path}"]\n')
            await it.start(ready=False)
            assert await it.ended() == 2
            await it.said("fastcgi.listen")
            assert len(it.log) == 1
            if what == "a file":
                assert path.read_text() == "precious"
            else:
                assert stat.S_ISSOCK(path.lstat().st_mode)
            other.close()
        upstream.close()

    run(work())


def test_upstreams_speak_by_their_kind() -> None:
    """One tier, both protocols: an unsafe request turned away unseen by one kind goes to the other."""

    async def work() -> None:
        http = await FakeUpstream().start()
        fcgi = FakeUpstream()
        fcgi.speaks = "fastcgi"
        await fcgi.start()
        options = Fastcgi(upstreams="kind", kinds=("box",))
        entries = [fcgi.entry("a"), http.entry("b", machineType="other")]
        async with running(*entries, fastcgi=options) as balancer, Caller(balancer.port) as caller:
            for _ in range(40):
                caller.ask("move", b"x")
                assert (await caller.answer()).status == 200
        assert len(http.seen) + len(fcgi.seen) == 40 and http.seen and fcgi.seen
        assert all(item.values for item in fcgi.seen) and not any(item.values for item in http.seen)
        http.close()
        fcgi.close()

    run(work())
