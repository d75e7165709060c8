"""`python -m benchmarks.owners_cost [--seconds S] [--plays N] [--beside FOLDER] [--idle]`: what owners cost processes
that serve nobody: three real programs on loopback, all of them keepers, with a canary and a ramp under way (`--idle`:
neither).

Each play starts three programs, waits until verdicts and ramps are owned and all three are told so, then measures the
processor time and the datagrams of so many seconds. `--beside FOLDER`: the packages and the program of another checkout
are played in turn with these, so that the machine's other work falls on both. The last line is datagrams a second and
process, of this text, membership's own among them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from statistics import mean

from standins.fleet import SETTINGS, ZONES
from standins.manager import ROOT
from standins.peers import PATIENCE_S, FakeDiscovery, FakeUpstream
from standins.ports import free_port

PROCESSES = 3
TICKS = os.sysconf("SC_CLK_TCK")
ROUTES = """
[pool.main]
[pool.new]
[route.lookups]
path = "/"
pool = "main"
"""
GOING = """split = ["new 5%"]
sticky = "request"
alarm = 0.01
ramp_ms = 3600000.0
"""


class Program:
    def __init__(self, folder: Path, n: int, names: list[str], discovery: int, going: bool, on: str) -> None:
        self.control = free_port()
        self.config, self.operator = folder / f"{n}.json", folder / f"{n}.toml"
        config = {
            "name": f"c{n}",
            "listen": f"127.0.0.1:{free_port()}",
            "control": f"127.0.0.1:{self.control}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{n + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": SETTINGS,
        }
        self.config.write_text(json.dumps(config))
        text = f"[peers]\non = true\nlisten = {json.dumps(names[n])}\npeers = {json.dumps(names)}\n"
        if on == "owners":
            kept = json.dumps(str(folder / f"k{n}"))
            text += f"[owners]\non = true\nkeepers = {json.dumps(names)}\nfolder = {kept}\n"
        self.operator.write_text(text + ROUTES + (GOING if going else ""))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, text: Path) -> None:
        """Of the checkout `text`: its packages go before those that are installed."""
        path = os.pathsep.join(str(item) for item in (text, *sorted(text.glob("packages/*/src"))))
        env = {key: value for key, value in os.environ.items() if not key.startswith(("GW_", "LISTEN_"))}
        env |= {"PYTHONPATH": path, "GW_CONFIG": str(self.config)}
        command = [sys.executable, "-m", "larkweir", "run", "--operator", str(self.operator)]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=text, env=env, stdin=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL
        )

    async def facts(self) -> dict[str, str]:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        except OSError:
            return {}
        writer.write(b"STATUS\n")
        line = (await reader.read()).decode()
        writer.close()
        return dict(pair.partition("=")[::2] for pair in line.split() if "=" in pair)

    async def owned(self) -> None:
        """Until it is told of an owner of both duties."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                rows = [row.split(":") for row in (await self.facts()).get("owners", "").split(",")]
                if len(rows) == 2 and all(len(row) == 5 and row[2] != "nobody" for row in rows):
                    return
                await asyncio.sleep(0.1)

    def spent_s(self) -> float:
        assert self.process is not None
        row = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(row[11]) + int(row[12])) / TICKS

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def play(text: Path, seconds: float, on: str, going: bool) -> tuple[float, float]:
    """Parts of a core, and datagrams a second, of one process."""
    upstream = await FakeUpstream().start()
    discovery = await FakeDiscovery([upstream.entry("u0", zone=ZONES[0])]).start()
    with tempfile.TemporaryDirectory(prefix="larkweir-cost-") as folder:
        names = [f"127.0.0.1:{free_port()}" for _ in range(PROCESSES)]
        programs = [Program(Path(folder), n, names, discovery.port, going, on) for n in range(PROCESSES)]
        try:
            for program in programs:
                await program.start(text)
            if on == "owners":
                for program in programs:
                    await program.owned()
            else:
                await asyncio.sleep(2.0)
            await asyncio.sleep(3.0)  # what begins is over
            loop = asyncio.get_running_loop()
            then, spent = loop.time(), sum(program.spent_s() for program in programs)
            sent = [int((await program.facts()).get("peers_sent", "0")) for program in programs]
            await asyncio.sleep(seconds)
            took = loop.time() - then
            spent = sum(program.spent_s() for program in programs) - spent
            after = [int((await program.facts()).get("peers_sent", "0")) for program in programs]
            return spent / took / PROCESSES, (sum(after) - sum(sent)) / took / PROCESSES
        finally:
            for program in programs:
                await program.end()
            discovery.stop()
            upstream.close()


async def measure(options: argparse.Namespace) -> None:
    texts = {"this": ROOT} | ({"beside": Path(options.beside).resolve()} if options.beside else {})
    found: dict[str, list[tuple[float, float]]] = {name: [] for name in texts}
    for n in range(options.plays):
        for name in list(texts) if n % 2 == 0 else list(texts)[::-1]:
            core, sent = await play(texts[name], options.seconds, options.on, not options.idle)
            found[name].append((core, sent))
            print(f"{name}: {core:.2%} of a core, {sent:.1f} datagrams/s a process", flush=True)
    for name, rows in found.items():
        print(f"{name}: mean {mean(core for core, _ in rows):.2%} of a core over {len(rows)} plays")
    print(f"{mean(sent for _, sent in found['this']):.1f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--plays", type=int, default=2)
    parser.add_argument("--beside", default="", help="another checkout, played in turn")
    parser.add_argument("--idle", action="store_true", help="no canary and no ramp")
    parser.add_argument("--on", choices=("owners", "peers"), default="owners")
    options = parser.parse_args()
    asyncio.run(measure(options))


if __name__ == "__main__":
    main()
