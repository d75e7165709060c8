"""The upstream time that is reported to the decisions, with sockets and an upstream in a thread of its own."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import uvloop
from larkweir_balancing.interface import Action, Event, RequestArrived

from tests.fakes import PATIENCE_S, Caller, Script, entry, ok, running

BUSY_S = 0.2


class Upstream(threading.Thread):
    """Answers the first request after `go` is set, and then sets `answered`."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.socket.getsockname()[1])
        self.asked, self.go, self.answered = threading.Event(), threading.Event(), threading.Event()

    def run(self) -> None:
        connection, _ = self.socket.accept()
        with connection:
            connection.recv(65536)
            self.asked.set()
            self.go.wait(PATIENCE_S)
            connection.sendall(ok())
            self.answered.set()
            connection.recv(65536)


def test_a_slow_iteration_that_handles_only_requests_is_not_counted_as_upstream_time() -> None:
    async def run() -> tuple[float, float]:
        upstream = Upstream()
        upstream.start()
        script = Script([1])
        arrived: list[Event] = []

        def more(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived):
                arrived.append(event)
                if len(arrived) == 2:  # only this request is handled in this iteration, and slowly
                    upstream.go.set()
                    upstream.answered.wait(PATIENCE_S)
                    time.sleep(BUSY_S)
            return None

        script.more = more
        async with running(entry("u", upstream.port), script=script) as node:
            script.servers = list(node.dispatcher.upstreams.targets)
            async with Caller(node.port) as first, Caller(node.port) as second:
                first.ask()
                await asyncio.get_running_loop().run_in_executor(None, upstream.asked.wait, PATIENCE_S)
                second.ask()
                assert (await first.answer()).status == 200
            end = script.ends()[0]
            assert end.upstream_ms is not None
            return end.spent_ms, end.upstream_ms

    spent, upstream = uvloop.run(run())
    assert 0.0 <= upstream <= spent - BUSY_S * 1000.0
