"""An HTTP/1.0 caller can detect a broken answer, although only the end of its connection delimits answers."""

from __future__ import annotations

import asyncio

import pytest

from standins.peers import PATIENCE_S, read_head
from tests.fakes import Caller, FakeUpstream, Incoming, Script, Talk, request_bytes, running
from tests.upstreams.test_attempts import run
from tests.upstreams.test_broken_answers import HEADS, LONG, all_closed, framed, send_and_reset


@pytest.mark.parametrize("kind", [kind for kind in HEADS if kind != "length"])
def test_a_broken_answer_resets_the_connection_of_an_http_1_0_caller(kind: str) -> None:
    async def work() -> None:
        talks: asyncio.Queue[Talk] = asyncio.Queue()

        async def answer(request: Incoming, talk: Talk) -> None:
            await talk.send(HEADS[kind] + framed(kind, LONG))
            talks.put_nowait(talk)

        upstream = await FakeUpstream(answer).start()
        async with (
            running(upstream.entry("a"), script=Script([1])) as balancer,
            Caller(balancer.port) as caller,
        ):
            caller.send(request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
            async with asyncio.timeout(PATIENCE_S):
                head = await read_head(caller.reader)
                assert head is not None and "content-length" not in head[1]
                await caller.reader.readexactly(1_000)
                send_and_reset(await talks.get(), framed(kind, b"the last that comes"))
                with pytest.raises(ConnectionError):
                    while await caller.reader.read(65_536):
                        pass
            await all_closed(balancer)
        upstream.close()

    run(work())
