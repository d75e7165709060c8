"""Roll-out metrics; there are none while no service has had a roll-out."""

from __future__ import annotations

from collections.abc import Iterator

from larkweir_rollouts.samples import RolloutReport, TrackSamples
from larkweir_rollouts.state import Rollout

from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.metrics import Metric
from larkweir.controller.rollout_samples import RolloutSamples


def rollout_metrics(rollouts: CommittedRollouts, samples: RolloutSamples) -> Iterator[Metric]:
    """Yields the number of running roll-outs and, for each, its weight and the answers of its two tracks."""
    if not rollouts.all():
        return
    running = [committed.rollout for committed in rollouts.running()]
    yield Metric("rollouts_running", "roll-outs that are running", len(running))
    for rollout in running:
        yield Metric(
            "rollout_target_weight",
            "share of new requests that go to the target version",
            rollout.target_weight,
            {"service": rollout.service},
        )
    for rollout in running:
        pool = samples.pool(rollout.service)
        if pool is not None:
            yield from _answers(rollout, pool.totals())


def _answers(rollout: Rollout, totals: RolloutReport) -> Iterator[Metric]:
    tracks: dict[str, TrackSamples] = {"target": totals.target, "others": totals.others}
    for name, track in tracks.items():
        labels = {"service": rollout.service, "track": name}
        routes = track.routes.values()
        yield Metric(
            "rollout_answers",
            "answers of the track since the order, failed ones too",
            sum(route.answered + route.failed for route in routes),
            labels,
        )
        yield Metric(
            "rollout_failures",
            "failed answers of the track since the order",
            sum(route.failed for route in routes),
            labels,
        )
