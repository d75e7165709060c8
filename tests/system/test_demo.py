"""The demonstration starts, its request is answered, and it ends by a signal."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from pathlib import Path

from tests.system.loopback import Client

ROOT = Path(__file__).parent.parent.parent


def test_the_demonstration_serves_the_request_that_it_prints() -> None:
    async def scene() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larkweir.system", "demo", cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        try:
            async with asyncio.timeout(60.0):
                text = ""
                while "Ctrl-C" not in text:
                    line = (await process.stdout.readline()).decode()
                    assert line, "it ended before it was ready"
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
                assert (reply.status, reply.whole) == (200, True)
                assert reply.body.count(b"data: word") == 8
                process.send_signal(signal.SIGINT)
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scene())
