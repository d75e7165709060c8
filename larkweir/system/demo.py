"""A demonstration fleet on loopback addresses: three controllers, two routers and three emulated engines."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import h11
import msgspec

from larkweir.cluster.controller_client import ControllersUnreachableError, call_controllers
from larkweir.cluster.settings import ENVIRONMENT_VARIABLE
from larkweir.cluster.tasks import start_task

CONTROLLERS = 3
ROUTERS = 2
ENGINES = 3
SERVICE = "demo-lm"
HOST = "demo.example"
KEY = "demo-key"
HEARTBEAT_S = 1.0
PREFILL_TOKENS_PER_S = 20_000.0
EVENT_INTERVAL_S = 0.05
EVENT_COUNT = 8

CONFIGURATION: dict[str, Any] = {
    "generation": 1,
    "routes": [
        {
            "name": "answers",
            "host": HOST,
            "path_prefix": "/answers/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "target_latency_ms": 800,
            "backend": SERVICE,
            "max_attempts": 2,
            "resumable": True,
        }
    ],
    "services": [{"name": SERVICE, "max_conns": 100, "engine": {"slots": 16}}],
    "tenants": [{"name": "demo", "api_keys": [KEY], "rate_per_s": 100, "burst": 200}],
}


class Engine:
    """An emulated engine that prefills prompts at a fixed rate, then sends events at fixed intervals."""

    def __init__(self, id_: str, address: str) -> None:
        """Create an engine that will listen on `address` (HOST:PORT)."""
        self.id = id_
        self.address = address
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer_requests(reader, writer)
        except (OSError, h11.ProtocolError):
            pass  # a router closes the connection of a stream whose client has disconnected
        finally:
            writer.close()

    async def _answer_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                await self._answer(connection, head, writer)
                connection.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _answer(
        self, connection: h11.Connection, head: h11.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = dict(head.headers)
        usage = headers.get(b"x-token-usage", b"0").partition(b",")[0]
        await asyncio.sleep((int(usage) if usage.isdigit() else 0) / PREFILL_TOKENS_PER_S)
        answer = [
            (b"Content-Type", b"text/event-stream"),
            (b"X-Request-Id", headers.get(b"x-request-id", b"")),
            (b"X-Server-Signature", self.id.encode()),
        ]
        out = connection.send(h11.Response(status_code=200, headers=answer)) or b""
        last_event = headers.get(b"last-event-id", b"")
        first = int(last_event) + 1 if last_event.isdigit() else 1
        for number in range(first, EVENT_COUNT + 1):
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: word {number} of {self.id}\n\n".encode()
            writer.write(out + (connection.send(h11.Data(data=event)) or b""))
            out = b""
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(out + (connection.send(h11.EndOfMessage()) or b""))

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return msgspec.json.encode(
            {
                "backend": SERVICE,
                "address": self.address,
                "zone": "demo",
                "state": "ready",
                "slots": 16,
                "sequence": self._sequence,
            }
        )


class Demo:
    """The processes and engines of a demonstration, with their files in one folder."""

    def __init__(self, folder: Path, subnet: int, port: int) -> None:
        """Create a demonstration on the addresses 127.78.SUBNET.*, using the four ports from `port`."""
        self._folder = folder
        self._subnet = subnet
        self.peer_port = port
        self.control_addresses = [f"{self._ip(n + 1)}:{port + 1}" for n in range(CONTROLLERS)]
        self.front_addresses = [f"{self._ip(100 + n)}:{port + 2}" for n in range(ROUTERS)]
        self._ready_addresses = [f"{self._ip(100 + n)}:{port + 3}" for n in range(ROUTERS)]
        self._engines = [Engine(f"engine-{n}", f"{self._ip(200 + n)}:{port + 3}") for n in range(ENGINES)]
        self.processes: list[asyncio.subprocess.Process] = []

    def _ip(self, host: int) -> str:
        return f"127.78.{self._subnet}.{host}"

    async def start(self) -> None:
        """Start all processes, configure the fleet, and return once all routers are ready."""
        for address in self.control_addresses:
            await self._spawn("controller", address, {"control": address})
        for address, ready in zip(self.front_addresses, self._ready_addresses, strict=True):
            await self._spawn("router", address, {"front": address, "ready": ready})
        for engine in self._engines:
            await engine.start()
        await asyncio.to_thread(self._configure)
        await self._send_heartbeats()
        for address in self._ready_addresses:
            await asyncio.to_thread(call_controllers, [address], "GET", "/ready")

    async def _spawn(self, role: str, address: str, listen: dict[str, str]) -> None:
        ip = address.partition(":")[0]
        settings = {
            "node": f"{role}-{ip}",
            "ip": ip,
            "zone": "demo",
            "port_range": [self.peer_port, self.peer_port],
            "seeds": self.control_addresses,
            "listen": listen,
            "bootstrap": True,
            "counts_for_quorum": role == "controller",
            "data_dir": str(self._folder / ip),
        }
        path = self._folder / f"{ip}.yaml"
        path.write_bytes(msgspec.json.encode(settings))  # JSON is YAML
        log = (self._folder / f"{ip}.log").open("wb")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larkweir.system",
            role,
            env={**os.environ, ENVIRONMENT_VARIABLE: str(path)},
            stdout=asyncio.subprocess.DEVNULL,  # a child must not keep the demonstration's standard output open
            stderr=log,
        )
        self.processes.append(process)

    def _configure(self) -> None:
        answer = call_controllers(
            self.control_addresses, "PUT", "/config", msgspec.json.encode(CONFIGURATION), base=0
        )
        if answer.status != 200:
            raise ControllersUnreachableError(f"{answer.status} {answer.body.decode(errors='replace')}")

    async def _send_heartbeats(self) -> None:
        for engine in self._engines:
            body = engine.heartbeat()
            await asyncio.to_thread(
                call_controllers, self.control_addresses, "PUT", f"/instances/{engine.id}", body
            )

    async def run(self) -> None:
        """Send the engines' heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._send_heartbeats()

    async def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    def introduction(self) -> str:
        """Return the text that shows a user what to try."""
        addresses = ",".join(self.control_addresses)
        return "\n".join(
            (
                f"{CONTROLLERS} controllers, {ROUTERS} routers and {ENGINES} engines are running; logs: {self._folder}",
                "Send a request:",
                f"  curl -N http://{self.front_addresses[0]}/answers/x -H 'Host: {HOST}' -H 'X-Api-Key: {KEY}' \\",
                "    -H 'X-Request-Id: 1' -H 'X-Token-Usage: 4000,80' -d 'a question'",
                "Show the status and change the configuration:",
                f"  export LARKWEIR_CONTROLLERS={addresses}",
                "  python -m larkweir.system status",
                '  echo \'{"generation": 2, "remove": {"routes": ["answers"]}}\' > change.json',
                "  python -m larkweir.system config patch --base 1 change.json",
                "Press Ctrl-C to stop.",
            )
        )


async def run_demo() -> None:
    """Run the demonstration until SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    with tempfile.TemporaryDirectory(prefix="larkweir-demo-") as folder:
        demo = Demo(Path(folder), subnet=os.getpid() % 250, port=20_000 + os.getpid() % 5_000 * 4)
        try:
            await demo.start()
            print(demo.introduction(), flush=True)
            running = start_task("heartbeats", demo.run())
            await ended.wait()
            running.cancel()
        finally:
            await demo.stop()
