"""A scene's upstream tells of what the scene's own processes and callers have sent, and of nothing else."""

from __future__ import annotations

from pathlib import Path

from standins.actors import Client, Server
from standins.peers import Caller
from standins.scene import Stage
from tests.upstreams.test_attempts import run

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_what_another_tests_process_sends_to_a_port_that_it_knew_is_not_counted(tmp_path: Path) -> None:
    """Whoever had an upstream at this port a moment ago may still call there."""

    async def work() -> None:
        stage = Stage(tmp_path)
        server = await Server(stage.script, "u0", stage).start()
        server.serves(OK)
        client = Client(stage.script, "ann", server.peer.port, "u0")
        stage.clients.append(client)
        await client.asks_often("look", "a.", 3)
        async with Caller(server.peer.port) as stranger:
            for n in range(5):
                stranger.ask("look", X_Trace_Id=f"stranger{n}")
                assert (await stranger.answer()).status == 200
        assert server.served == 3
        client.stop()
        server.stop()

    run(work())
