"""`python -m benchmarks.fleet_duties verdicts|alarms|ramps|traffic`: duties of the fleet against each copy alone, with
the real rules on a simulated network (1 to 10 ms a datagram, 1% lost, the peers' send budget).

verdicts: bad answers of a bad canary until it has ended everywhere, and how many copies are on beside it.
alarms: canaries that are no worse, over whole ramps: how often the fleet's bet ends one. Rules alone, no network.
ramps: a ramp whose owner is killed again and again: steps back, steps left out, steps too early (none).
traffic: datagrams a second of owners and reports, without membership's own, with a canary and a ramp under way and no
request: a copy's mean, the keepers', the busiest copy's. `--copies` says of how many.
"""

from __future__ import annotations

import argparse
import time
from itertools import pairwise
from random import Random
from statistics import mean, median

from larkweir.config.options import Route
from larkweir.coordination.duties import ramps as ramp_rules
from larkweir.coordination.duties.verdicts import Verdicts, decode_state, stake
from larkweir.routes.router import Router
from larkweir.routes.split import Ramp
from larkweir.routes.trial import FACTORS
from standins.duties import ROUTE, Copy, Fleet

PART = "5%"


def verdicts(options: argparse.Namespace) -> None:
    route = Route(pool="main", split=(f"new {PART}",), sticky="request", alarm=options.alarm)
    for worse in options.worse:
        found: dict[str, list[int]] = {"alone": [], "fleet": []}
        times: dict[str, list[float]] = {"alone": [], "fleet": []}
        sent: list[float] = []
        for play in range(options.plays):
            for name, keepers in (("alone", 0), ("fleet", 3)):
                fleet = Fleet(options.seed + play, options.copies, route, keepers)
                rate = [options.usual, options.usual]
                fleet.load(20.0, lambda canary, rate=rate, fleet=fleet: fleet.rng.random() < rate[canary])  # type: ignore[misc]
                fleet.run(10_000.0)  # of a good canary
                rate[1], before, datagrams, begun = (
                    worse,
                    fleet.bads[1],
                    fleet.datagrams,
                    fleet.network.now_ms,
                )
                while len(fleet.ended) < options.copies and fleet.network.now_ms - begun < 600_000.0:
                    fleet.run(100.0)
                found[name].append(fleet.bads[1] - before)
                ends = sorted(at - begun for at in fleet.ended.values())
                times[name].append(ends[len(ends) // 2] if ends else float("inf"))
                if keepers:
                    spent_s = (fleet.network.now_ms - begun) / 1000.0
                    sent.append((fleet.datagrams - datagrams) / spent_s / options.copies)
        ratio = mean(found["alone"]) / max(1.0, mean(found["fleet"]))
        print(
            f"{worse:.0%} bad: alone {mean(found['alone']):.0f} bad answers, fleet {mean(found['fleet']):.0f} "
            f"({min(found['fleet'])} to {max(found['fleet'])}): 1/{ratio:.1f}; median copy ended after "
            f"{median(times['alone']):.0f} ms and {median(times['fleet']):.0f} ms; "
            f"{mean(sent):.1f} datagrams/s a copy; {options.plays} plays from seed {options.seed}",
            flush=True,
        )


class Good:
    """A fleet's bets on canaries that are no worse, without a network: reports come in order, or are lost."""

    def __init__(self, rng: Random, copies: int, route: Route) -> None:
        self.rng = rng
        self.routers = [Router({ROUTE: route}, {}, {}, 0.0) for _ in range(copies)]
        self.works = [Verdicts(n, lambda n=n: self._trying(n)) for n in range(copies)]  # type: ignore[misc]
        self.owner = self.works[0]
        self.state, self.version = b"", (1, 1)
        self.most = 0.0
        self.now_ms = 0.0
        self._told()

    def _trying(self, n: int) -> Router:
        return self.routers[n]

    def _told(self) -> None:
        for work in self.works:
            work.on_committed(self.state, self.version)

    def beat(self, change: bool) -> None:
        """All copies report, the owner steps; with `change` another owner takes the next term first."""
        self.now_ms += 1000.0
        if change:
            self.owner = self.rng.choice(self.works)
            self.version = (self.version[0] + 1, self.version[1] + 1)
            self._told()
        for n, work in enumerate(self.works):
            for report in work.tick(self.now_ms):
                if self.rng.random() < 0.9:
                    self.owner.on_report(f"copy{n}", report, self.now_ms)
        state = self.owner.step(self.state, self.now_ms)
        if state is not None:
            self.state, self.version = state, (self.version[0], self.version[1] + 1)
            half = len(FACTORS)
            for total in decode_state(state).totals:
                self.most = max(self.most, stake(total.logs[:half]), stake(total.logs[half:]))
            self._told()


def alarms(options: argparse.Namespace) -> None:
    """The bar is so high that no bet ends; its highest stake says what any alarm would have ended."""
    route = Route(pool="main", split=("new 20%",), sticky="request", alarm=1e-12)
    highest: list[float] = []
    requests = bads = 0
    begun = time.monotonic()
    rng = Random(options.seed)
    while len(highest) < options.plays and time.monotonic() - begun < options.most_s:
        fleet = Good(rng, options.copies, route)
        rate = rng.choice((0.02, 0.1, 0.4))
        trials = [next(iter(router.on_trial().values())) for router in fleet.routers]
        for beat in range(Ramp.STEPS):
            part = 0.2 * (beat + 1) / Ramp.STEPS
            outage = 4.0 if beat in (7, 8) else 1.0  # of what lies behind both
            for trial in trials:
                trial.forget()  # as `Trials.record` does at each step
                for _ in range(options.requests):
                    failed = rng.random() < min(0.9, rate * outage)
                    trial.record(rng.random() < part, failed, 5.0 + rng.random())
                    requests += 1
                    bads += failed
            fleet.beat(change=beat % 6 == 5)
        highest.append(fleet.most)
    for alpha in (0.01, 0.05, 0.1, 0.5):
        ended = sum(most >= 2.0 / alpha for most in highest)
        print(f"alarm {alpha:g}: {ended} of {len(highest)} good ramps ended ({ended / len(highest):.4f})")
    print(
        f"{options.copies} copies, {requests} requests, {bads} bad ends, three changes of owner a ramp, a tenth of "
        f"reports lost; seed {options.seed}"
    )


def watch(fleet: Fleet, ms: float, steps: list[tuple[float, int, int]], parts: dict[str, float]) -> list[str]:
    """Run; gives what was wrong with the ramp, and adds to its steps as any copy took them: when, which, by which beat.
    A copy that is killed may be the only one that had the newest: the others show older beats until they hear of it.
    """
    wrong = []
    until = fleet.network.now_ms + ms
    while fleet.network.now_ms < until:
        fleet.run(20.0)
        held = [_state(copy) for copy in fleet.copies.values() if copy.owners is not None]
        newest = max(held, key=lambda state: state.heartbeat_count)
        step = newest.ramps[0].step if newest.ramps else 0
        if step and (not steps or (step != steps[-1][1] and newest.heartbeat_count > steps[-1][2])):
            if steps and step != steps[-1][1] + 1:
                wrong.append(f"step {step} after {steps[-1][1]}")
            steps.append((fleet.network.now_ms, step, newest.heartbeat_count))
        for copy in fleet.copies.values():
            if copy.owners is None:
                continue
            part = copy.part
            if part < parts.get(copy.name, 0.0) - 1e-9:
                wrong.append(f"{copy.name} went back from {parts[copy.name]:.4f} to {part:.4f}")
            parts[copy.name] = part
    return wrong


def _state(copy: Copy) -> ramp_rules.State:
    work = copy.works["ramps"]
    assert isinstance(work, ramp_rules.Ramps)
    return work.state


def ramps(options: argparse.Namespace) -> None:
    route = Route(pool="main", split=("new 40%",), sticky="request", alarm=0.01, ramp_ms=60_000.0)
    back = early = kills = 0
    apart: list[float] = []
    whole: list[float] = []
    for play in range(options.plays):
        fleet = Fleet(options.seed + play, options.copies, route, 3)
        rng = Random(options.seed + play)
        steps: list[tuple[float, int, int]] = []
        parts: dict[str, float] = {}
        while fleet.network.now_ms < 200_000.0 and (not steps or steps[-1][1] < Ramp.STEPS):
            wrong = watch(fleet, rng.uniform(4_000.0, 12_000.0), steps, parts)
            back += len(wrong)
            for line in wrong[:3]:
                print(line)
            live = [copy.part for copy in fleet.copies.values() if copy.owners is not None]
            apart.append(max(live) - min(live))
            owner = fleet.owner("ramps")
            if owner is not None and kills < 10_000:
                kills += 1
                fleet.kill(owner)
                parts.pop(owner.name, None)
                fleet.network.after(3_000.0, lambda owner=owner, fleet=fleet: fleet.start(owner))  # type: ignore[misc]
        early += sum(now - then < 3_000.0 - 60.0 for (then, *_), (now, *_) in pairwise(steps))
        whole.append(steps[-1][0] / 1000.0)
    print(
        f"{options.plays} ramps of 60 s over {options.copies} copies, {kills} owners killed: {back} steps back or left "
        f"out, {early} too early; done after {median(whole):.0f} s (median); copies apart by at most "
        f"{max(apart):.3f} of 0.4, in the mean {mean(apart):.4f}; seed {options.seed}"
    )


def traffic(options: argparse.Namespace) -> None:
    route = Route(pool="main", split=("new 5%",), sticky="request", alarm=options.alarm, ramp_ms=3_600_000.0)
    fleet = Fleet(options.seed, options.copies, route, 3)
    fleet.run(12_000.0)
    before = {name: copy.sent for name, copy in fleet.copies.items()}
    fleet.run(options.sim_s * 1000.0)
    rate = {name: (copy.sent - before[name]) / options.sim_s for name, copy in fleet.copies.items()}
    keeping = [rate[name] for name in fleet.keepers.names]
    print(
        f"{options.copies} copies: {mean(rate.values()):.2f} datagrams/s a copy, keepers {mean(keeping):.1f}, "
        f"the busiest {max(rate.values()):.1f}, half of the copies at most {median(rate.values()):.2f}; "
        f"seed {options.seed}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("verdicts", "alarms", "ramps", "traffic"))
    parser.add_argument("--copies", type=int, default=200)
    parser.add_argument("--plays", type=int, default=10)
    parser.add_argument("--requests", type=int, default=5, help="alarms: a copy and step of the ramp")
    parser.add_argument("--worse", type=float, nargs="*", default=(0.05, 0.2, 0.5, 1.0))
    parser.add_argument("--usual", type=float, default=0.001, help="the control's bad part")
    parser.add_argument("--alarm", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--most-s", type=float, default=240.0, help="alarms: begin no further ramp after that"
    )
    parser.add_argument("--sim-s", type=float, default=20.0, help="traffic: seconds of the simulated clock")
    options = parser.parse_args()
    {"verdicts": verdicts, "alarms": alarms, "ramps": ramps, "traffic": traffic}[options.what](options)


if __name__ == "__main__":
    main()
