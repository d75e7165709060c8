"""`python -m benchmarks.bad_bytes [--exchanges N] [--seed N]`: hostile input at a small fleet of real processes.

Three controllers and two routers run on loopback with emulated engines. Routers' clients, the controllers' HTTP
interface and the protocol between processes get drawn input (`standins.hostile_input`), a quarter of the exchanges
each; the last quarter reads journals and hint files whose bytes were changed, in this process. It counts processes that
ended, tracebacks and events of unexpected exceptions in the logs, and the growth of each process' memory, and sends a
proper request after each batch. Ends with 1 where any of these is not as it must be; the last line is the count.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from larkweir_registry import hint_file
from larkweir_registry.registry import Registry
from larkweir_replication.journal import JOURNAL_FILE, Journal
from larkweir_replication.messages import NO_EPOCH, DurableState, Snapshot

from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.system.demo import CONFIGURATION, HOST, KEY, Demo
from standins.hostile_input import http_request, json_document, mutate

BATCH = 1_000
CONCURRENCY = 32
EXCHANGE_TIMEOUT_S = 1.0
MAX_GROWTH_MB = 48.0
MAX_PROPER_REQUESTS = 20
PROPER_TIMEOUT_S = 10.0
PROPER_PAUSE_S = 0.3
FAULTS = (
    "Traceback",
    "exchange_failed",
    "handler_failed",
    "task_failed",
    "callback_failed",
    "process_failed",
)
FRONT_TARGETS = ("/answers/x", "/answers/", "/", "*", "http://demo.example/answers/x", "/answers/\u00e9")
API_TARGETS = ("/config", "/instances/i-1", "/instances/", "/status", "/upstreams", "/metrics", "/x")
HEARTBEAT = {
    "backend": "demo-lm",
    "address": "127.0.0.9:1",
    "zone": "z",
    "state": "ready",
    "slots": 4,
    "sequence": 1,
}
# Lines of routers. What another controller says of the group's state is believed, so that is drawn malformed alone.
LINES = (
    {"type": "hello", "node": "127.9.9.9", "kind": "router", "life": "a1"},
    {
        "type": "pull",
        "config": -1,
        "vector": {"a": 1},
        "usage": {"other": 1.5},
        "sent_ms": 1.0,
        "waiting": {"e": 5},
    },
    {"type": "pull", "endings": {"engine-0": [1, 2]}},
    {"type": "waiting", "tokens": {"engine-0": 9000}},
    {"type": "place", "service": "demo-lm", "head": "h", "tokens": 5000.0},
    {"type": "ping"},
)
REPLICATION = b'{"type":"replication","message":{"type":"prepare","epoch":[3,"127.0.0.1"]}}'


class MemoryFiles:
    """A folder in memory: `larkweir_replication.journal_files.JournalFiles`."""

    def __init__(self) -> None:
        """It is empty."""
        self.contents: dict[str, bytes] = {}

    def read(self, name: str) -> bytes:
        """All of a file. Raises FileNotFoundError."""
        if name not in self.contents:
            raise FileNotFoundError(name)
        return self.contents[name]

    def append(self, name: str, size: int, data: bytes) -> None:
        """Write behind the first `size` bytes."""
        self.contents[name] = self.contents.get(name, b"")[:size] + data

    def replace(self, name: str, by: str) -> None:
        """Rename a file over another."""
        self.contents[by] = self.contents.pop(name)


@dataclass
class Report:
    """What was found."""

    exchanges: int = 0
    problems: list[str] = field(default_factory=list)
    growth_mb: float = 0.0


class Attack:
    """The exchanges of one run."""

    def __init__(self, demo: Demo, folder: Path, rng: Random) -> None:
        """`folder`: where the processes write their logs."""
        self.demo = demo
        self.folder = folder
        self.rng = rng
        self.report = Report()
        self._peers = [f"{control.partition(':')[0]}:{demo.peer_port}" for control in demo.control_addresses]

    async def run(self, exchanges: int) -> Report:
        """Batches of exchanges, each followed by a proper request."""
        await self.check_service()
        before = self._memory_mb()
        while self.report.exchanges < exchanges and not self.report.problems:
            await self._batch(min(BATCH, exchanges - self.report.exchanges))
            await self.check_service()
        after = self._memory_mb()
        self.report.growth_mb = max(after[pid] - before[pid] for pid in before if pid in after)
        if self.report.growth_mb > MAX_GROWTH_MB:
            self.report.problems.append(f"memory grew by {self.report.growth_mb:.1f} MB")
        self._check_logs()
        return self.report

    async def _batch(self, count: int) -> None:
        draws: list[Callable[[], tuple[str, bytes]]] = [self._front, self._api, self._protocol]
        for _ in range(count // 4):
            read_stored_files(self.rng)
        network = [draws[number % len(draws)]() for number in range(count - count // 4)]
        slots = asyncio.Semaphore(CONCURRENCY)

        async def one(address: str, data: bytes) -> None:
            async with slots:
                await exchange(address, data)

        await asyncio.gather(*(one(*drawn) for drawn in network))
        self.report.exchanges += count

    def _front(self) -> tuple[str, bytes]:
        data = http_request(self.rng, FRONT_TARGETS, self.rng.randbytes(self.rng.choice((0, 3, 5_000))))
        if self.rng.random() < 0.5:
            data = data.replace(b"\r\n", f"\r\nX-Api-Key: {KEY}\r\n".encode(), 1)
        return self.rng.choice(self.demo.front_addresses), data

    def _api(self) -> tuple[str, bytes]:
        proper = self.rng.choice((HEARTBEAT, CONFIGURATION, {"generation": 2, "upsert": {"routes": []}}))
        # A change of the version in place would be a proper one: no drawn document names that version.
        data = http_request(self.rng, API_TARGETS, json_document(self.rng, proper))
        return self.rng.choice(self.demo.control_addresses), data.replace(
            b"If-Match: 1\r\n", b"If-Match: 0\r\n"
        )

    def _protocol(self) -> tuple[str, bytes]:
        lines = [json.dumps(LINES[0]).encode()]
        lines += [json_document(self.rng, line) for line in self.rng.sample(LINES[1:], 3)]
        if self.rng.random() < 0.3:
            lines.append(mutate(self.rng, REPLICATION[:-1]))
        if self.rng.random() < 0.2:
            lines[0] = json_document(self.rng, LINES[0]).replace(b"controller", b"router")
        return self.rng.choice(self._peers), b"\n".join(lines) + b"\n"

    async def check_service(self) -> None:
        """A proper request is served by each router, and no process has ended."""
        for front in self.demo.front_addresses:
            answer = await answer_to_proper_request(front)
            if not is_whole_answer(answer):
                self.report.problems.append(f"{front} answers a proper request with {answer[:200]!r}")
        ended = [process.pid for process in self.demo.processes if process.returncode is not None]
        self.report.problems += [f"process {pid} has ended" for pid in ended]

    def _memory_mb(self) -> dict[int, float]:
        found = {}
        for process in self.demo.processes:
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            found[process.pid] = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return found

    def _check_logs(self) -> None:
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            faults = [line for line in lines if any(fault in line for fault in FAULTS)]
            if faults:
                self.report.problems.append(f"{log.name}: {len(faults)} lines such as {faults[0][:300]}")


def read_stored_files(rng: Random) -> None:
    """A journal and hint files with changed bytes: read without an exception, or found damaged."""
    files = MemoryFiles()
    journal = Journal(files)
    for sequence in range(rng.randrange(1, 5)):
        journal.write(DurableState(NO_EPOCH, Snapshot(NO_EPOCH, sequence, ("a", "b", "c"), value="{}")))
    files.contents[JOURNAL_FILE] = mutate(rng, files.contents[JOURNAL_FILE])
    Journal(files)
    hints = mutate(rng, b"00000000 " + json_document(rng, [{"id": "i", "service": "s"}]))
    hint_file.restore(Registry("c"), hints, 0.0)
    PrefixPlacement().restore(json_document(rng, {"head": "engine"}))


async def exchange(address: str, data: bytes) -> None:
    """Send bytes on a connection of their own, and read until the other side closes or is silent."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                writer.write_eof()
                while await reader.read(65_536):
                    pass
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        pass


async def answer_to_proper_request(front: str) -> bytes:
    """What a router answers to a proper request, tried for some seconds where it asks to come back."""
    host, _, port = front.rpartition(":")
    lines = ("POST /answers/x HTTP/1.1", f"Host: {HOST}", f"X-Api-Key: {KEY}", "X-Request-Id: proper")
    head = "\r\n".join((*lines, "Connection: close", "X-Token-Usage: 10,8", "Content-Length: 1", "", "x"))
    answer = b""
    for _ in range(MAX_PROPER_REQUESTS):
        try:
            async with asyncio.timeout(PROPER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError) as error:
            answer = repr(error).encode()
        if is_whole_answer(answer):
            break
        await asyncio.sleep(PROPER_PAUSE_S)
    return answer


def is_whole_answer(answer: bytes) -> bool:
    """Whether it is a success with all events of an emulated engine."""
    return answer.startswith(b"HTTP/1.1 200") and b"word 8" in answer


async def attack(exchanges: int, seed: int, logs_to: str | None = None) -> Report:
    """A fleet, the exchanges, and what was found. `logs_to`: a new folder for the logs where there were problems."""
    with tempfile.TemporaryDirectory(prefix="larkweir-bad-bytes-") as name:
        folder = Path(name)
        demo = Demo(folder, subnet=os.getpid() % 250, port=24_000 + os.getpid() % 2_000 * 4)
        try:
            await demo.start()
            heartbeats = asyncio.create_task(demo.run())
            try:
                report = await Attack(demo, folder, Random(seed)).run(exchanges)
            finally:
                heartbeats.cancel()
            if report.problems and logs_to is not None:
                shutil.copytree(folder, logs_to, ignore=shutil.ignore_patterns("127*.yaml"))
            return report
        finally:
            await demo.stop()


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0] if __doc__ else "")
    parser.add_argument("--exchanges", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", help="a new folder for the logs, where there were problems")
    options = parser.parse_args()
    report = asyncio.run(attack(options.exchanges, options.seed, options.logs))
    for problem in report.problems:
        print(problem)
    print(
        f"{report.exchanges} exchanges, {len(report.problems)} problems, memory up by {report.growth_mb:.1f} MB at most"
    )
    return 1 if report.problems else 0


if __name__ == "__main__":
    sys.exit(main())
