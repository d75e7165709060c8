"""`python -m benchmarks.storm`: a sala fails and returns cold before a thousand clients, with the part and without.

In simulated time (`standins/returning.py`): real decisions, real rules, clients with the usual habits, servers that
fall over when they are overdriven as the platform's do. Ten seeds each way, in as many processes as there are cores.
Printed are, by seeds, the falls, what was served within its aim of the first tries that came while the tier
recovered, by class and by habit, tries for each first try, and the time from the return until nine in ten are served,
beside the time that an ideal ramp takes: one that gives every warm part of a core to somebody, the worthiest first.
Last comes the worth served while it recovers, with the part by without.

`--picture FILE` draws one play (svg or png by its name; needs matplotlib). `--cost` measures the rules alone. `--step`
and `--sockets` are measured by `benchmarks.step` and `benchmarks.storm_sockets`.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any, NamedTuple

from standins.returning import CLASSES, COLD_MS, COLD_SHARE, HABITS, MIX, Habit, Sala

DOWN, BACK, END = 10_000.0, 18_000.0, 40_000.0
RECOVERS = 8.0  # seconds after the return that count
WORTH = [cls.worth * part for cls, part in zip(CLASSES, MIX, strict=True)]


class Scenario(NamedTuple):
    name: str
    how: dict[str, Any]
    one_by_one: bool = False


SCENARIOS = (
    Scenario("all at once", {}),
    Scenario("one at a time", {}, True),
    Scenario("at 0.95 of capacity", {"load": 0.95}),
    Scenario("thirty balancers, unevenly", {"copies": 30, "weights": [1.0 + n % 7 for n in range(30)]}),
    Scenario("one balancer", {"copies": 1}),
    Scenario("nobody honours", {"habits": tuple(h for h in HABITS if not h.honours)}),
    Scenario("half honour", {"habits": (Habit("ignoring", 5, 60.0, 1.0, 0.2), HABITS[-1])}),
)


class Play(NamedTuple):
    falls: int
    classes: list[float]  # served within the aim, of first tries while it recovers
    habits: dict[
        str, tuple[float, float, float]
    ]  # the same of the whole play, tries, and the mean wait in ms
    recovered_s: float
    ideal_s: float

    @property
    def worth(self) -> float:
        return sum(w * part for w, part in zip(WORTH, self.classes, strict=True)) / sum(WORTH)


def world_of(scenario: Scenario, storms: bool, seed: int, clients: int) -> Sala:
    world = Sala(seed, storms=storms, clients=clients, **scenario.how)
    everyone = [server.number for server in world.servers]
    world.after(DOWN, lambda: world.lose(everyone))
    for n in everyone:
        late = 500.0 * n if scenario.one_by_one else 0.0
        world.after(BACK + late, lambda n=n: world.bring_back([n]))

    def revive() -> None:
        """Who has fallen over is started again, cold, as a supervisor would."""
        down = [server.number for server in world.servers if not server.up]
        if down and world.now > BACK + 7_000.0:
            world.bring_back(down)
        world.after(6_000.0, revive)

    world.after(BACK + 6_000.0, revive)
    world.clients_begin(END)
    return world


def ideal_s(scenario: Scenario, load: float, servers: int) -> float:
    """Until the tier can do nine tenths of what is asked: no rule can be faster."""
    for step in range(1, 400):
        at = step * 50.0
        ages = [at - (500.0 * n if scenario.one_by_one else 0.0) for n in range(servers)]
        warm = [
            min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_MS) if age >= 0.0 else 0.0 for age in ages
        ]
        if sum(warm) / servers >= 0.9 * load:
            return at / 1000.0
    return 20.0


def play(job: tuple[int, bool, int, int]) -> Play:
    number, storms, seed, clients = job
    scenario = SCENARIOS[number]
    world = world_of(scenario, storms, seed, clients)
    world.run(END + 3_000.0)
    since = BACK / 1000.0
    parts = [world.span_total(since, since + RECOVERS, [cls]) for cls in range(3)]
    recovered = END / 1000.0 - since
    for second in range(int(since), int(END / 1000.0) - 2):
        total = world.span_total(second, second + 2)
        if total.asked and total.in_aim >= 0.9 * total.asked:
            recovered = second - since
            break
    habits = {}
    for habit in world.habits:
        tally = world.of_habit(habit.name)
        wait = mean(tally.waits) if tally.waits else 0.0
        habits[habit.name] = (tally.in_aim / tally.asked, tally.tries / tally.asked, wait)
    falls = sum(server.falls for server in world.servers)
    classes = [part.in_aim / max(1, part.asked) for part in parts]
    return Play(falls, classes, habits, recovered, ideal_s(scenario, world.load, len(world.servers)))


def spread(values: Iterable[float], digits: int = 2) -> str:
    row = sorted(values)
    return f"{mean(row):.{digits}f} ({row[0]:.{digits}f} to {row[-1]:.{digits}f})"


def report(scenario: Scenario, plays: dict[bool, list[Play]]) -> None:
    print(f"\n{scenario.name}")
    for storms in (True, False):
        rows = plays[storms]
        print(
            f"  {'on ' if storms else 'off'} falls {sum(row.falls for row in rows):3}"
            + "".join(
                f"  {cls.name} {spread(row.classes[n] for row in rows)}" for n, cls in enumerate(CLASSES)
            )
            + f"  worth {spread(row.worth for row in rows)}"
            + f"  recovered after {spread((row.recovered_s for row in rows), 1)} s, ideal {rows[0].ideal_s:.1f}"
        )
    for name in plays[True][0].habits:
        cells = []
        for storms in (True, False):
            served, tries, wait = (mean(row.habits[name][at] for row in plays[storms]) for at in range(3))
            cells.append(f"{'on' if storms else 'off'} {served:.3f}, {tries:.2f} tries, {wait:5.0f} ms")
        print(f"    {name:12} {'   '.join(cells)}")


def cost() -> None:
    """The rules beside none, on a script of arrivals and answers in calm: microseconds a request."""
    from larkweir_balancing import Balancer, Settings
    from larkweir_balancing.interface import (
        AttemptEnded,
        ListKind,
        ListUpdate,
        Outcome,
        RequestArrived,
        Send,
        ServerEntry,
    )

    from larkweir.storms.storm import Storm
    from larkweir.storms.storm_balancer import StormBalancer

    settings = Settings(classes=CLASSES, max_attempts=4, retry_advice=True, max_retry_after_ms=2000.0)
    times: dict[bool, list[float]] = {True: [], False: []}
    for turn in range(6):
        for on in (turn % 2 == 0, turn % 2 == 1):
            decisions: Any = Balancer(settings, 1)
            if on:
                decisions = StormBalancer(decisions, Storm(settings, 1), lambda number: number)
            decisions.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(12)]))
            begun = time.process_time()
            now, out = 0.0, []
            for number in range(1, 20_001):
                now += 1.0
                actions = decisions.handle(now, RequestArrived(number, number % 3, 1000.0))
                out.extend(action for action in actions if isinstance(action, Send))
                while len(out) > 6:
                    send = out.pop(0)
                    decisions.handle(now, AttemptEnded(send.request, 0, send.server, Outcome.OK, True, 6.0))
            times[on].append((time.process_time() - begun) / 20_000 * 1e6)
    on_us, off_us = min(times[True]), min(times[False])
    print(
        f"decisions alone {off_us:.1f} us a request, with the part {on_us:.1f}: {on_us - off_us:.1f} us more"
    )


def picture(path: Path, seed: int, clients: int) -> None:
    """One play each way: what is asked, what is served by class, and the states of all balancers."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, rows = plt.subplots(3, 1, figsize=(9, 8), sharex=True, height_ratios=(3, 3, 1))
    logs = []
    for row, storms in zip(rows, (True, False), strict=False):
        world = world_of(SCENARIOS[0], storms, seed, clients)
        world.run(END + 3_000.0)
        seconds = range(5, int(END / 1000.0))
        asked = [world.span_total(at, at + 1).asked for at in seconds]
        row.plot(seconds, asked, color="black", linewidth=1, label="first tries")
        bottom = [0] * len(asked)
        for cls, color in ((1, "tab:blue"), (2, "tab:cyan"), (0, "tab:gray")):
            good = [world.span_total(at, at + 1, [cls]).in_aim for at in seconds]
            row.bar(
                seconds, good, bottom=bottom, color=color, width=1.0, label=f"{CLASSES[cls].name} in its aim"
            )
            bottom = [a + b for a, b in zip(bottom, good, strict=True)]
        capacity = [
            world.per_s / world.load * min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (at * 1000 - BACK) / COLD_MS)
            if at * 1000 >= BACK
            else (0.0 if at * 1000 >= DOWN else world.per_s / world.load)
            for at in seconds
        ]
        row.plot(seconds, capacity, color="tab:red", linestyle=":", label="what the tier can do")
        row.set_title("with [storms] on" if storms else "off", loc="left")
        row.set_ylabel("a second")
        row.set_ylim(0, 1.3 * max(asked))
        if storms:
            logs = world.log
            row.legend(fontsize=8, loc="upper left", ncol=2)
    heights = {"calm": 0, "building": 1, "storm": 2, "recovering": 1.5}
    for copy in range(6):
        xs, ys = [5.0], [0.0]
        for at, number, line in logs:
            if number == copy:
                state = line.split(" -> ")[1].split(":")[0]
                xs += [at / 1000.0, at / 1000.0]
                ys += [ys[-1], heights[state] + 0.03 * copy]
        rows[2].plot([*xs, END / 1000.0], [*ys, ys[-1]], linewidth=1)
    rows[2].set_yticks([0, 1, 1.5, 2], ["calm", "building", "recovering", "storm"])
    rows[2].set_xlabel("seconds; the sala is lost at 10 and back, cold, at 18")
    figure.tight_layout()
    figure.savefig(path)
    print(f"drawn: {path}")


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--clients", type=int, default=1000)
    parser.add_argument("--only", nargs="*", default=[], help="scenarios, by a part of their names")
    parser.add_argument("--jobs", type=int, default=None)
    parser.add_argument("--picture", type=Path)
    parser.add_argument("--cost", action="store_true")
    options = parser.parse_args(arguments)
    if options.cost:
        cost()
        return 0
    if options.picture:
        picture(options.picture, 1, options.clients)
        return 0
    numbers = [
        n
        for n, scenario in enumerate(SCENARIOS)
        if not options.only or any(word in scenario.name for word in options.only)
    ]
    jobs = [
        (n, storms, seed, options.clients)
        for n in numbers
        for storms in (True, False)
        for seed in range(1, options.seeds + 1)
    ]
    gains = []
    with ProcessPoolExecutor(options.jobs) as pool:
        plays = dict(zip(jobs, pool.map(play, jobs), strict=True))
    for n in numbers:
        both = {
            storms: [plays[job] for job in jobs if job[0] == n and job[1] is storms]
            for storms in (True, False)
        }
        report(SCENARIOS[n], both)
        gains.append(
            mean(row.worth for row in both[True]) / max(1e-9, mean(row.worth for row in both[False]))
        )
    print(f"\nworth served while it recovers, with the part by without: {mean(gains):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
