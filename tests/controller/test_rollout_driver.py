"""Which steps of a roll-out the primary submits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import pytest
from larkweir_registry.registry import Registry
from larkweir_replication.messages import Command
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.schedule import CANARY_WEIGHT
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.configuration.rollout_commands import RolloutAdvance
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole, Pull, RolloutAge
from larkweir.controller import rollout_driver
from larkweir.controller.background_tasks import BackgroundTasks
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.rollout_driver import RolloutDriver, RolloutInputs
from larkweir.controller.rollout_samples import RolloutSamples
from larkweir.controller.subscriptions import Subscriptions
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, report, rollout, versioned

CANARY = rollout(target_weight=CANARY_WEIGHT)
FULL = rollout(target_weight=1.0)
FULL_WEIGHT_DUE_MS = 9_000.0  # after the order of a roll-out of 12 s
COMPLETION_DUE_MS = 10_500.0  # the same; the others' requests are waited for a little longer


@dataclass
class Scene:
    """A controller with a ready upstream of each version, and a router."""

    outcome: CallOutcome = field(default_factory=Completed)
    is_primary: bool = True
    present_ms: float = 50_000.0
    versions: dict[str, str] = field(default_factory=lambda: {"a": "v1", "b": "v2"})  # of upstreams
    steps: list[Advance] = field(default_factory=list)
    answers: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.answers.set()
        self.rollouts = CommittedRollouts()
        self.samples = RolloutSamples()
        self.subscriptions = Subscriptions()
        self.tasks = BackgroundTasks()
        self.registry = versioned(Registry("c/1"), **self.versions)
        self.driver = RolloutDriver(
            RolloutInputs(self.rollouts, self.samples, self.registry, self.subscriptions),
            self.submit,
            lambda: self.is_primary,
            lambda: True,
            self.tasks,
        )
        self.commit(1)
        self.present_ms += 10_000.0

    async def submit(self, command: Command) -> CallOutcome:
        self.steps.append(msgspec.json.decode(command.text, type=RolloutAdvance).step)
        await self.answers.wait()
        return self.outcome

    def commit(self, sequence: int, *rollouts: Rollout) -> None:
        self.rollouts.update(document(*rollouts), sequence, self.present_ms, ORDERED_UNIX_MS)
        self.samples.update(rollouts)

    def order(self, *rollouts: Rollout) -> None:
        """Commits orders, and lets the time pass until the first one's full weight is due."""
        self.commit(2, *rollouts)
        self.present_ms += FULL_WEIGHT_DUE_MS

    def connect(self, sequence: int) -> None:
        """A router that has the configuration of that sequence in force."""
        connection = Connection(lambda connection, message: None, lambda connection: None)
        connection.node = f"r{sequence}"
        self.subscriptions.add(connection, NodeRole.ROUTER)
        subscriber = self.subscriptions.get(connection)
        assert subscriber is not None
        subscriber.pending_pull, subscriber.config_sequence = Pull(), sequence

    async def evaluate(self) -> list[Advance]:
        """The steps that one evaluation submits."""
        before = len(self.steps)
        self.driver.evaluate()
        await turns()
        return self.steps[before:]


async def turns() -> None:
    """Lets every task that can go on do so."""
    for _ in range(5):
        await asyncio.sleep(0)


def run(monkeypatch: pytest.MonkeyPatch, play: Callable[[Scene], Awaitable[None]], **versions: str) -> None:
    async def whole() -> None:
        scene = Scene(versions=versions) if versions else Scene()
        monkeypatch.setattr(rollout_driver, "now_ms", lambda: scene.present_ms)
        await play(scene)
        scene.tasks.close()

    asyncio.run(whole())


def test_the_weight_grows_with_the_time_since_the_order(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(2, CANARY)
        assert await scene.evaluate() == []
        scene.present_ms += FULL_WEIGHT_DUE_MS
        (step,) = await scene.evaluate()
        assert (step.service, step.order_id) == ("s", CANARY.order_id)
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)

    run(monkeypatch, play)


def test_a_backup_submits_nothing_and_goes_on_once_it_leads(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.order(CANARY)
        scene.is_primary = False
        assert await scene.evaluate() == []
        scene.is_primary = True
        assert len(await scene.evaluate()) == 1

    run(monkeypatch, play)


def test_one_step_of_a_service_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        other = rollout(service="t", duration_s=600.0)
        scene.order(CANARY, other)
        scene.answers.clear()
        assert [step.service for step in await scene.evaluate()] == ["s"], "t has no upstream of its target"
        assert await scene.evaluate() == []
        scene.answers.set()
        await turns()
        assert (
            len(await scene.evaluate()) == 1
        ), "the step was not committed in this scene, and is decided anew"

    run(monkeypatch, play)


def test_a_step_without_an_outcome_is_decided_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.outcome = UNKNOWN
        scene.order(CANARY)
        first, second = await scene.evaluate() + await scene.evaluate()
        assert first == second

    run(monkeypatch, play)


def test_a_step_that_does_not_end_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        monkeypatch.setattr(rollout_driver, "ADVANCE_TIMEOUT_S", 0.0)
        scene.order(CANARY)
        scene.answers.clear()
        assert len(await scene.evaluate()) == 1
        assert len(await scene.evaluate()) == 1

    run(monkeypatch, play)


def test_a_version_that_fails_is_rolled_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(2, CANARY)
        for router in ("a/1", "b/1", "c/1"):
            scene.samples.report(router, {"s": report(rollout(), 0, 40, others=400)})
        (step,) = await scene.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.ROLLED_BACK, 0.0)
        assert step.reason

    run(monkeypatch, play)


def test_a_rollout_is_completed_once_all_routers_act_by_its_full_weight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(5, FULL)
        assert await scene.evaluate() == []
        scene.present_ms += COMPLETION_DUE_MS
        scene.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await scene.evaluate() == [], "there is no router"
        scene.connect(5)
        scene.connect(4)
        assert await scene.evaluate() == [], "one is behind"
        for subscriber in scene.subscriptions:
            subscriber.config_sequence = 5
        (step,) = await scene.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.COMPLETED, 1.0)
        assert step.other_versions == ("v1",)

    run(monkeypatch, play)


def test_a_controller_that_has_just_started_completes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(5, FULL)
        scene.present_ms += COMPLETION_DUE_MS
        scene.connect(5)
        scene.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await scene.evaluate() == [], "most routers may still be on their way to it"
        scene.present_ms += rollout_driver.ROUTERS_RETURN_MS
        assert len(await scene.evaluate()) == 1

    run(monkeypatch, play)


def test_requests_under_way_at_the_others_are_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(5, FULL)
        assert await scene.evaluate() == []
        scene.present_ms += COMPLETION_DUE_MS
        scene.connect(5)
        scene.samples.report("a/1", {"s": report(FULL, 100, others=100, others_in_flight=3)})
        assert await scene.evaluate() == []
        scene.samples.report("a/1", {"s": report(FULL, 100, others=103)})
        assert len(await scene.evaluate()) == 1

    run(monkeypatch, play)


def test_what_has_ended_gets_no_step(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(2, rollout(state=RolloutState.COMPLETED, target_weight=1.0))
        assert await scene.evaluate() == []

    run(monkeypatch, play)


def test_an_order_for_the_only_version_is_completed_at_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(2, CANARY)
        scene.samples.report("a/1", {"s": report(CANARY, 0, 40)})
        assert await scene.evaluate() == [], "whatever its answers are, nothing else could serve"
        scene.present_ms += FULL_WEIGHT_DUE_MS
        (step,) = await scene.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)
        scene.commit(3, FULL)
        scene.present_ms += COMPLETION_DUE_MS - FULL_WEIGHT_DUE_MS
        assert await scene.evaluate() == [], "no router has confirmed"
        scene.connect(3)
        (step,) = await scene.evaluate()
        assert step.state is RolloutState.COMPLETED

    run(monkeypatch, play, a="v2", b="v2")


def test_another_version_that_comes_makes_it_a_roll_out_like_any_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(2, CANARY)
        assert await scene.evaluate() == []
        versioned(scene.registry, a="v1")
        for router in ("a/1", "b/1", "c/1"):
            scene.samples.report(router, {"s": report(CANARY, 0, 40, others=400)})
        (step,) = await scene.evaluate()
        assert step.state is RolloutState.ROLLED_BACK

    run(monkeypatch, play, b="v2")


def test_a_controller_that_learned_of_the_order_late_takes_no_version_for_the_only_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(scene: Scene) -> None:
        scene.rollouts.mark_outdated(scene.present_ms)
        scene.commit(2, CANARY)
        for router in ("a/1", "b/1", "c/1"):
            scene.samples.report(router, {"s": report(CANARY, 0, 40)})
        (step,) = await scene.evaluate()
        assert step.state is RolloutState.ROLLED_BACK, "it has not heard of the others' upstreams yet"

    run(monkeypatch, play, b="v2")


@pytest.mark.parametrize("weight", [CANARY_WEIGHT, 1.0])
@pytest.mark.parametrize("versions", [{}, {"a": "v1"}, {"b": "v2"}], ids=["none", "old", "new"])
def test_a_controller_that_has_just_started_rolls_back_nothing_for_want_of_time(
    weight: float, versions: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(scene: Scene) -> None:
        for id_ in {*scene.registry.upstreams} - {*versions}:
            del scene.registry.upstreams[id_]
        scene.rollouts.mark_outdated(scene.present_ms)
        scene.commit(5, rollout(target_weight=weight))
        scene.present_ms += 12_000.0
        assert await scene.evaluate() == [], "upstreams and routers are on their way to it"
        scene.present_ms += rollout_driver.ROUTERS_RETURN_MS - 1.0
        assert await scene.evaluate() == []

    run(monkeypatch, play)


@pytest.mark.parametrize("others", [(), ("v1",)])
def test_what_the_last_primary_knew_of_versions_counts(
    others: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(scene: Scene) -> None:
        known = rollout(target_weight=1.0, other_versions=others)
        scene.rollouts.mark_outdated(scene.present_ms)
        scene.commit(5, known)
        scene.rollouts.adopt_ages({"s": RolloutAge(known.order_id, 0.0)}, scene.present_ms)
        for router in ("a/1", "b/1", "c/1"):
            scene.samples.report(router, {"s": report(known, 0, 40, others=400)})
        steps = await scene.evaluate()
        assert [(one.state, one.other_versions) for one in steps] == (
            [(RolloutState.ROLLED_BACK, ("v1",))] if others else []
        ), "where there is no other version nothing else could serve"

    run(monkeypatch, play, b="v2")


def test_an_age_that_another_controller_told_makes_no_upstreams_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(scene: Scene) -> None:
        scene.rollouts.mark_outdated(scene.present_ms)
        scene.commit(2, CANARY)
        scene.rollouts.adopt_ages({"s": RolloutAge(CANARY.order_id, 0.0)}, scene.present_ms)
        assert await scene.evaluate() == []
        scene.present_ms += rollout_driver.ROUTERS_RETURN_MS
        (step,) = await scene.evaluate()
        assert step.target_weight < 1.0, "the target is on trial, though no other version is known"
        assert step.other_versions is msgspec.UNSET

    run(monkeypatch, play, b="v2")


def test_a_router_that_was_lost_without_confirming_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(5, FULL)
        scene.connect(5)
        scene.connect(4)
        scene.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await scene.evaluate() == []
        scene.present_ms += COMPLETION_DUE_MS - 1_000.0
        assert await scene.evaluate() == []
        (lost,) = [one for one in scene.subscriptions if one.config_sequence == 4]
        scene.subscriptions.remove(lost.connection)
        scene.present_ms += 1_000.0
        assert await scene.evaluate() == [], "it may still send to the others"
        scene.present_ms += rollout_driver.LOST_ROUTER_MS - 1_000.0
        (step,) = await scene.evaluate()
        assert step.state is RolloutState.COMPLETED

    run(monkeypatch, play)


def test_a_lost_router_is_waited_for_only_as_long_as_there_is_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(scene: Scene) -> None:
        scene.commit(5, FULL)
        scene.connect(5)
        scene.connect(4)
        scene.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await scene.evaluate() == []
        scene.present_ms += COMPLETION_DUE_MS
        assert await scene.evaluate() == []
        (lost,) = [one for one in scene.subscriptions if one.config_sequence == 4]
        scene.subscriptions.remove(lost.connection)
        assert await scene.evaluate() == []
        scene.present_ms += 600.0
        (step,) = await scene.evaluate()
        assert step.state is RolloutState.COMPLETED, "less than a second is left"

    run(monkeypatch, play)


def test_a_controller_that_learned_of_the_order_late_lets_no_weight_grow_on_the_reports_of_few_routers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(scene: Scene) -> None:
        scene.rollouts.mark_outdated(scene.present_ms)
        scene.commit(2, CANARY)
        assert await scene.evaluate() == []
        age_ms = FULL_WEIGHT_DUE_MS - rollout_driver.FIRST_REPORTS_MS
        scene.rollouts.adopt_ages({"s": RolloutAge(CANARY.order_id, age_ms)}, scene.present_ms)
        scene.samples.report("a/1", {"s": report(CANARY, 100, others=1_000)})
        assert await scene.evaluate() == []
        scene.present_ms += rollout_driver.FIRST_REPORTS_MS
        (step,) = await scene.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)

    run(monkeypatch, play)
