"""`python -m benchmarks.fleet_probes`: a zone is away for a while; calls and probes to servers that their copies have
left out, and when these are in use again, with the duty "probers" and with each copy alone. The real decisions and the
real rules of owners and probers, on a simulated network (1 to 10 ms a datagram, 1% lost, the peers' send budget).
"""

from __future__ import annotations

import argparse
from statistics import mean, median

from standins.probing import World

ZONE = 1
WARM_MS = 20_000.0
WAYS = {
    "alone": (0, True),
    "probes": (3, True),
    "calls": (3, False),
}  # keepers, and whether probes are allowed


def play(seed: int, options: argparse.Namespace, keepers: int, allowed: bool) -> dict[str, float]:
    world = World(
        seed, options.copies, options.servers, keepers, allowed, options.per_s, refuses=options.refuses
    )
    world.run(WARM_MS)
    away = [server for server in world.servers.values() if server.zone == ZONE]
    before, sent = world.seen.probes, world.datagrams
    lost, unserved = world.seen.lost, world.seen.unserved
    for server in away:
        server.away = True
    world.run(options.away_s * 1000.0)
    probes = world.seen.probes - before
    found = {
        "trials": float(world.seen.trials_away + probes),
        "probes": float(probes),
        "lost": float(world.seen.lost - lost),
        "unserved": float(world.seen.unserved - unserved),
        "datagrams": (world.datagrams - sent) / options.copies / options.away_s,
    }
    world.watched = {server.number for server in away}
    for server in away:
        server.away = False
    back = world.network.now_ms
    world.run(options.after_s * 1000.0)
    first: dict[tuple[int, str], float] = {}
    for at, number, who, well in world.seen.to:
        if well:
            first.setdefault((number, who), at - back)
    pairs = len(away) * options.copies
    times = sorted(first.values()) + [float("inf")] * (pairs - len(first))
    found["back"] = median(times)
    found["p90"] = times[int(0.9 * pairs)]
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--copies", type=int, default=200)
    parser.add_argument("--servers", type=int, default=60, help="in three zones")
    parser.add_argument("--per-s", type=float, default=20.0, help="requests of each copy")
    parser.add_argument("--away-s", type=float, default=20.0)
    parser.add_argument("--after-s", type=float, default=20.0)
    parser.add_argument(
        "--refuses", action="store_true", help="connections are refused, not waited for in vain"
    )
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ways", nargs="*", default=list(WAYS), choices=list(WAYS))
    options = parser.parse_args()
    alone: list[dict[str, float]] = []
    for name in options.ways:
        keepers, allowed = WAYS[name]
        found = [play(options.seed + n, options, keepers, allowed) for n in range(options.plays)]
        alone = alone or (found if name == "alone" else [])
        tries = [it["trials"] for it in found]
        part = (
            f"{mean(tries) / mean(it['trials'] for it in alone):.3f} of alone"
            if alone
            else "alone not played"
        )
        print(
            f"{name}: {mean(tries):.0f} ({min(tries):.0f} to {max(tries):.0f}) calls and probes to servers left out "
            f"while they were away, {mean(it['probes'] for it in found):.0f} of them probes: {part}; "
            f"{mean(it['lost'] for it in found):.0f} calls lost in all, {mean(it['unserved'] for it in found):.0f} "
            f"requests unserved; in use again after {median(it['back'] for it in found):.0f} ms (median), "
            f"{median(it['p90'] for it in found):.0f} (p90); {mean(it['datagrams'] for it in found):.1f} "
            f"datagrams/s a copy; {options.plays} plays from seed {options.seed}",
            flush=True,
        )


if __name__ == "__main__":
    main()
