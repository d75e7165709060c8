"""Roll-out metrics."""

from __future__ import annotations

from larkweir_rollouts.state import RolloutState

from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.metrics import encode
from larkweir.controller.rollout_metrics import rollout_metrics
from larkweir.controller.rollout_samples import RolloutSamples
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, report, rollout


def lines(rollouts: CommittedRollouts, samples: RolloutSamples) -> list[str]:
    text = encode(rollout_metrics(rollouts, samples)).decode()
    return [line for line in text.splitlines() if not line.startswith("#")]


def test_a_fleet_without_rollouts_has_no_rollout_metrics() -> None:
    assert lines(CommittedRollouts(), RolloutSamples()) == []


def test_each_running_rollout_has_its_weight_and_the_answers_of_its_tracks() -> None:
    first, second = rollout(target_weight=0.25), rollout(service="t")
    rollouts, samples = CommittedRollouts(), RolloutSamples()
    ended = rollout(service="u", state=RolloutState.ROLLED_BACK)
    rollouts.update(document(first, second, ended), 1, 0.0, ORDERED_UNIX_MS)
    samples.update([first, second, ended])
    samples.report("a/1", {"s": report(first, 3, 2, others=7)})
    assert lines(rollouts, samples) == [
        "larkweir_rollouts_running 2.0",
        'larkweir_rollout_target_weight{service="s"} 0.25',
        'larkweir_rollout_target_weight{service="t"} 0.0',
        'larkweir_rollout_answers{service="s",track="target"} 5.0',
        'larkweir_rollout_answers{service="s",track="others"} 7.0',
        'larkweir_rollout_answers{service="t",track="target"} 0.0',
        'larkweir_rollout_answers{service="t",track="others"} 0.0',
        'larkweir_rollout_failures{service="s",track="target"} 2.0',
        'larkweir_rollout_failures{service="s",track="others"} 0.0',
        'larkweir_rollout_failures{service="t",track="target"} 0.0',
        'larkweir_rollout_failures{service="t",track="others"} 0.0',
    ]
