"""`python -m benchmarks.chain_budget`: three tiers with budgets off and on, and three ways to divide them.

For each day (healthy, 30% errors, 1.3 times capacity): attempts at the last tier for each client attempt, and the
worth answered within the aim as a part of the worth asked for, off and on in turn, medians over rounds. Then how soon
a loop is refused, and by simulation what each way to divide serves. Last comes the amplification at 30% errors, on as
a part of off.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from random import Random
from statistics import median

import uvloop

from larkweir.budget.rules import SHARES, Account, Share
from standins.chain import WORTH, Chain

CLASSES = (("consulta", 60), ("publicar", 25), ("traspaso", 15))
AIM_S = 0.41


def simulate(
    share: Share, budget: int, fail: float, lost: float, rounds: int, seed: int
) -> tuple[float, float]:
    """The part of requests served and the mean attempts at the last of three tiers, four tries at each."""
    rng = Random(seed)
    spent = 0

    def tier(depth: int, account: Account) -> bool:
        nonlocal spent
        for attempt in range(4):
            part = account.grant(attempt, 4 - attempt)
            if not part:
                return False
            if depth == 2:
                spent += 1
                served, told = rng.random() >= fail, None
            else:
                below = Account(part, depth == 1, share)
                served, told = tier(depth + 1, below), below.reported
                if rng.random() < lost:  # the answer breaks on its way: served or not, nobody hears of it
                    served, told = False, None
            account.settle(attempt, told, never_ran=False)
            if served:
                return True
        return False

    served = sum(tier(0, Account(budget, False, share)) for _ in range(rounds))
    return served / rounds, spent / rounds


async def day(
    budget: bool, rate: float, errors: float, work_s: float, seconds: float, seed: int, table: str
) -> tuple[float, float]:
    """Amplification and the part of the worth served within the aim, at so many requests a second."""
    rng = Random(seed)
    names, weights = zip(*CLASSES, strict=True)
    asked = served = 0.0
    async with Chain(
        budget=budget,
        errors=errors,
        work_s=work_s,
        seed=seed,
        aim_ms=410.0,
        deadline_ms=1000.0,
        options=table,
    ) as rig:
        tasks: set[asyncio.Task[None]] = set()
        count = 0

        async def one(number: int, cls: str) -> None:
            nonlocal served
            begun = time.monotonic()
            try:
                answer = await rig.client(number, cls, 4 if budget else None)
            except (OSError, AssertionError, TimeoutError, asyncio.IncompleteReadError):
                return
            if answer.status == 200 and time.monotonic() - begun <= AIM_S:
                served += WORTH[cls]

        end = time.monotonic() + seconds
        while time.monotonic() < end:
            cls = rng.choices(names, weights)[0]
            asked += WORTH[cls]
            count += 1
            task = asyncio.ensure_future(one(count, cls))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(rng.expovariate(rate))
        while tasks:
            await asyncio.sleep(0.05)
        return sum(rig.ledger.attempts.values()) / count, served / asked


async def loops(requests: int) -> list[float]:
    """Milliseconds until a ring of three has refused a request, the pass round it included."""
    found = []
    async with Chain(ring=True) as rig:
        for number in range(requests):
            begun = time.monotonic()
            answer = await rig.client(number, "traspaso", 8)
            assert answer.status == 503 and answer.headers["x-budget-loop"] == "1"
            found.append((time.monotonic() - begun) * 1000.0)
    return sorted(found)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--table", default="", help="further keys of [budget], such as 'retry_ratio = 0.2'")
    options = parser.parse_args()
    # Three nodos of 10 ms each carry 300 requests a second.
    days = {
        "healthy": (100.0, 0.0, 0.01),
        "30% errors": (100.0, 0.3, 0.01),
        "1.3 times capacity": (390.0, 0.0, 0.01),
    }
    part = 0.0
    for name, (rate, errors, work_s) in days.items():
        rows: dict[bool, list[tuple[float, float]]] = {False: [], True: []}
        for n in range(options.rounds):
            for budget, found in rows.items():
                found.append(
                    uvloop.run(
                        day(budget, rate, errors, work_s, options.seconds, options.seed + n, options.table)
                    )
                )
        for budget, found in rows.items():
            print(
                f"{name}, budgets {'on ' if budget else 'off'}: {median(a for a, _ in found):.2f} attempts at the last "
                f"tier for a client's, {median(w for _, w in found):.3f} of the worth within the aim "
                f"({min(w for _, w in found):.3f} to {max(w for _, w in found):.3f})",
                flush=True,
            )
        if errors:
            part = median(a for a, _ in rows[True]) / median(a for a, _ in rows[False])
    found = uvloop.run(loops(200))
    print(
        f"a ring of three refused after p50 {found[100]:.1f} ms, p99 {found[197]:.1f} ms, most {found[-1]:.1f} ms"
    )
    for fail, lost in ((0.1, 0.0), (0.3, 0.0), (0.3, 0.1), (0.6, 0.0)):
        for name, share in SHARES.items():
            rate, spent = simulate(share, 4, fail, lost, 20_000, options.seed)
            what = f"simulated, {fail:.0%} fail, {lost:.0%} of answers lost, {name}"
            print(f"{what}: {rate:.4f} served, {spent:.3f} attempts")
    print(f"amplification at 30% errors, on as a part of off: {part:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
