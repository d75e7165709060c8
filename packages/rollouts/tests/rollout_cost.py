"""`python rollout_cost.py`: prints a table of a roll-out's CPU time and bytes at a controller, by number of routers."""

from __future__ import annotations

import time
from random import Random

import msgspec
from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples, bucket_of
from larkweir_rollouts.verdict import judge

REQUESTS_PER_ROUTER_S = 6.0
REPORTS_PER_S = 5
TARGET_SHARE = 0.12
SECONDS = 12
ROUTES = 4


def add_answer(rng: Random, report: RolloutReport) -> None:
    """Add one good answer to a router's report."""
    track: TrackSamples = report.target if rng.random() < TARGET_SHARE else report.others
    samples = track.routes.setdefault(f"route-{rng.randrange(ROUTES)}", RouteSamples())
    samples.answered += 1
    for histogram in (samples.first_byte, samples.pace):
        bucket = bucket_of(200.0 * rng.lognormvariate(0.0, 0.4))
        histogram[bucket] = histogram.get(bucket, 0) + 1


def cost_row(router_count: int) -> str:
    """Simulate good answers for some seconds, and measure the last report of each router as a row of the table."""
    rng, pool = Random(1), PooledSamples("v2/1")
    reports = [RolloutReport("v2/1") for _ in range(router_count)]
    for _ in range(SECONDS * REPORTS_PER_S):
        for _ in range(round(router_count * REQUESTS_PER_ROUTER_S / REPORTS_PER_S)):
            add_answer(rng, rng.choice(reports))
        sent = [msgspec.json.encode(report) for report in reports]
        received = [msgspec.json.decode(data, type=RolloutReport) for data in sent]
        begin = time.process_time()
        for number, report in enumerate(received):
            pool.record(f"router-{number}/a", report)
        record_s = time.process_time() - begin
    begin = time.process_time()
    judge(pool, 70)
    judge_s = time.process_time() - begin
    cores = REPORTS_PER_S * (record_s + judge_s)
    mean_bytes = sum(len(data) for data in sent) / router_count
    return (
        f"| {router_count} | {record_s / router_count * 1e6:.0f} | {judge_s * 1e3:.1f} | {cores:.3f} "
        f"| {mean_bytes:.0f} |"
    )


if __name__ == "__main__":
    print("| routers | microseconds a report | ms a judgement | cores of a controller | bytes a report |")
    print("| --- | --- | --- | --- | --- |")
    for count in (30, 200, 2_000):
        print(cost_row(count), flush=True)
