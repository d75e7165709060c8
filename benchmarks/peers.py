"""`python -m benchmarks.peers`: what membership costs a process, how soon a crash is found, how often it errs.

By simulation of the rules (larkweir_simulated; 1 to 10 ms from process to process), at 30, 200 and 2,000 processes,
with no and with a tenth of the datagrams lost: datagrams and bytes that a process sends in a second while nothing
happens, the time from a crash until the first, the median and the last of the others holds it to be lost, suspicions of
processes that are well in an hour of one process's, and how many of those were held to be lost. Then, with 3 of 30
processes slow by 600 ms a datagram, the same errors with local health and without. Then one real process among 200
sockets on loopback, with a key: its part of a core while nothing happens. That comes last.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean, median
from typing import NamedTuple

import uvloop
from larkweir_peers.messages import MemberState
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.transport import PeerTransport
from larkweir_simulated import Network

from larkweir.core.clock import Clock

KEYS = (b"a key of thirty-two characters..",)
WARM_MS = 10_000.0
IDLE_MS = 20_000.0
CRASH_MS = 20_000.0
HEAD = "processes  lost  plays  sends/s  bytes/s  found first  median  last   missed  suspected/h  held lost"


class Play(NamedTuple):
    sends: float  # datagrams a second and process
    bytes: float
    found: list[float]  # milliseconds from a crash until each other holds it to be lost
    suspected: int  # processes that were well, by each that suspected them
    lost: int  # the same, held to be lost
    hours: float  # of one process each


def play(number: int, lost: float, seed: int, pace: ProtocolConfig, slow: int = 0, deaths: int = 1) -> Play:
    """One run, to the byte by its seed. Of `slow` processes each datagram waits for 600 ms, and none crashes; of others
    so many at once.
    """
    net = Network(seed, loss_rate=lost)
    names = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(number)]
    well = set(names[slow:])
    fleet: dict[str, PeerProtocol] = {}
    timers: dict[str, tuple[float, object]] = {}
    found: list[float] = []
    wrong = {MemberState.SUSPECT: 0, MemberState.DEAD: 0}
    crashed, crash_ms = set[str](), 0.0

    def out(name: str) -> None:
        peers = fleet[name]
        while peers.datagrams:
            to, data = peers.datagrams.popleft()
            net.send(name, to, data)
        while peers.membership.events:
            event = peers.membership.events.popleft()
            if event.name in crashed and event.state is MemberState.DEAD:
                found.append(event.at_ms - crash_ms)
            elif event.state in wrong and event.name in well and event.name not in crashed:
                wrong[event.state] += 1
        due = peers.next_ms
        if timers.get(name, (None,))[0] != due:
            if name in timers:
                timers[name][1].cancel()  # type: ignore[attr-defined]
            timers[name] = (due, net.at(due, lambda: tick(name), name))

    def tick(name: str) -> None:
        del timers[name]
        fleet[name].tick(net.now_ms)
        out(name)

    def start(name: str, late_ms: float) -> None:
        peers = fleet[name] = PeerProtocol(name, names, Random(net.rng.random()), 0.0, 1_000, KEYS, pace)

        def came(source: str, data: bytes) -> None:
            if late_ms:
                net.after(late_ms, lambda: work(source, data), name)
            else:
                work(source, data)

        def work(source: str, data: bytes) -> None:
            peers.on_datagram(source, data, net.now_ms)
            out(name)

        net.listen(name, came)
        out(name)

    for n, name in enumerate(names):
        start(name, 600.0 if n < slow else 0.0)
    net.run(WARM_MS, 10**9)
    sent, sent_bytes = net.sent, net.sent_bytes
    net.run(WARM_MS + IDLE_MS, 10**9)
    seconds = IDLE_MS / 1000.0 * number
    sends, size = (net.sent - sent) / seconds, (net.sent_bytes - sent_bytes) / seconds
    if not slow:
        crash_ms = net.now_ms
        crashed |= {names[(seed + n * number // deaths) % number] for n in range(deaths)}
        for name in crashed:
            net.kill(name)
            del fleet[name]
    net.run(net.now_ms + (CRASH_MS if not slow and deaths == 1 else 60_000.0), 10**9)
    hours = net.now_ms / 3_600_000.0 * number
    return Play(sends, size, found, wrong[MemberState.SUSPECT], wrong[MemberState.DEAD], hours)


def table(pool: ProcessPoolExecutor, plays: dict[int, int]) -> None:
    print(HEAD)
    jobs = {
        (number, lost): [
            pool.submit(play, number, lost, seed, ProtocolConfig()) for seed in range(plays[number])
        ]
        for lost in (0.0, 0.1)
        for number in plays
    }
    for (number, lost), running in jobs.items():
        row(number, lost, [job.result() for job in running])


def row(number: int, lost: float, done: list[Play], deaths: int = 1) -> None:
    first = mean(min(each.found) for each in done) / 1000.0
    middle = mean(median(each.found) for each in done) / 1000.0
    last = max(max(each.found) for each in done) / 1000.0
    missed = sum((number - deaths) * deaths - len(each.found) for each in done)
    hours = sum(each.hours for each in done)
    print(
        f"{number:9}  {lost:4.0%}  {len(done):5}  {mean(each.sends for each in done):7.2f}  "
        f"{mean(each.bytes for each in done):7.0f}  {first:9.1f} s  {middle:4.1f} s  {last:4.1f} s  {missed:4}  "
        f"{sum(each.suspected for each in done) / hours:11.2f}  {sum(each.lost for each in done):9}",
        flush=True,
    )


def slow_ones(pool: ProcessPoolExecutor, plays: int) -> None:
    print(
        f"3 of 30 slow, {plays} plays of 90 s: the 27 others, suspected by anyone and held to be lost by anyone"
    )
    ways = {
        "with local health": ProtocolConfig(),
        "without": ProtocolConfig(max_health_score=0, suspicion_confirmations=0),
    }
    jobs = {
        way: [pool.submit(play, 30, 0.0, seed, pace, 3) for seed in range(plays)]
        for way, pace in ways.items()
    }
    for way, running in jobs.items():
        done = [job.result() for job in running]
        print(f"  {way}: {sum(each.suspected for each in done)}, {sum(each.lost for each in done)}")


async def among(number: int, seconds: float) -> float:
    """Of a core, that one process of so many takes while nothing happens. The others share a process."""
    names = [f"127.0.1.{n + 1}:17946" for n in range(number)]
    others = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.peers", "--others", str(number), stdin=asyncio.subprocess.PIPE
    )
    one = opened(names, 0)
    try:
        await asyncio.sleep(10.0)
        assert one.protocol.membership.counts_by_state()[MemberState.DEAD] == 0, "the others are not there"
        used, at, sent = resource.getrusage(resource.RUSAGE_SELF), time.monotonic(), one.protocol.sender.sent
        await asyncio.sleep(seconds)
        after, took = resource.getrusage(resource.RUSAGE_SELF), time.monotonic() - at
        print(
            f"one real process of {number}, {took:.0f} s: {(one.protocol.sender.sent - sent) / took:.2f} sends/s"
        )
        return (after.ru_utime - used.ru_utime + after.ru_stime - used.ru_stime) / took
    finally:
        one.close()
        others.kill()
        await others.wait()


def opened(names: list[str], number: int) -> PeerTransport:
    loop = asyncio.get_running_loop()
    clock = Clock(loop)
    now = clock.now_ms()
    peers = PeerProtocol(names[number], names, Random(number), now, int(now), KEYS)
    sock = PeerTransport(peers, names[number], clock, lambda line: None)
    sock.start()
    return sock


async def be_others(number: int) -> None:
    names = [f"127.0.1.{n + 1}:17946" for n in range(number)]
    held = [opened(names, n) for n in range(1, number)]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until the other end is gone
    for sock in held:
        sock.close()


def main() -> None:
    reader = argparse.ArgumentParser(prog="python -m benchmarks.peers", description=__doc__)
    reader.add_argument("--plays", type=int, nargs=3, default=(20, 5, 1), help="at 30, 200 and 2,000")
    reader.add_argument("--seconds", type=float, default=30.0, help="that the real process is watched for")
    reader.add_argument("--one", nargs=3, metavar=("PROCESSES", "LOST", "SEED"), help="one play alone")
    reader.add_argument("--deaths", type=int, default=1, help="at once, in the one play")
    reader.add_argument("--others", type=int, help=argparse.SUPPRESS)
    options = reader.parse_args()
    if options.one:
        number, lost, seed = int(options.one[0]), float(options.one[1]), int(options.one[2])
        print(HEAD)
        done = [play(number, lost, seed, ProtocolConfig(), deaths=options.deaths)]
        row(number, lost, done, options.deaths)
        return
    if options.others:
        uvloop.run(be_others(options.others))
        return
    with ProcessPoolExecutor(min(4, os.cpu_count() or 1)) as pool:
        table(pool, dict(zip((30, 200, 2_000), options.plays, strict=True)))
        slow_ones(pool, options.plays[0])
    part = uvloop.run(among(200, options.seconds))
    print(f"{part:.4f}")


if __name__ == "__main__":
    main()
