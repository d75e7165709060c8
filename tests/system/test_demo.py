"""The demonstration starts, answers the request that it prints, and ends on a signal."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from pathlib import Path

from tests.system.loopback import Client

ROOT = Path(__file__).parent.parent.parent


async def leave_a_stream(front: str) -> None:
    """Disconnect a client after the first event of its stream, then check that another request is answered."""
    host, _, port = front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = "POST /answers/x HTTP/1.1\r\nHost: demo.example\r\nX-Api-Key: demo-key\r\nX-Request-Id: 2\r\n"
    writer.write(f"{head}X-Token-Usage: 100,80\r\nContent-Length: 0\r\n\r\n".encode())
    await reader.readuntil(b"word 1 ")
    writer.transport.abort()
    later = await Client(front).request(
        "POST",
        "/answers/x",
        Host="demo.example",
        X_Api_Key="demo-key",
        X_Request_Id="3",
        X_Token_Usage="100,80",
    )
    assert later.is_complete


def test_the_demonstration_serves_the_request_that_it_prints() -> None:
    async def scenario() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larkweir.system",
            "demo",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        try:
            async with asyncio.timeout(60.0):
                text = ""
                while "Ctrl-C" not in text:
                    line = (await process.stdout.readline()).decode()
                    assert line, "the demonstration ended before it was ready"
                    text += line
                found = re.search(r"http://([\d.:]+)/answers/x", text)
                assert found is not None
                reply = await Client(found[1]).request(
                    "POST",
                    "/answers/x",
                    b"a question",
                    Host="demo.example",
                    X_Api_Key="demo-key",
                    X_Request_Id="1",
                    X_Token_Usage="100,80",
                )
                assert (reply.status, reply.is_complete) == (200, True)
                assert reply.body.count(b"data: word") == 8
                await leave_a_stream(found[1])
                process.send_signal(signal.SIGINT)
                assert process.stderr is not None
                errors = (await process.stderr.read()).decode()
                assert await process.wait() == 0
                assert "Traceback" not in errors
                assert len(errors.splitlines()) <= 1, errors
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
