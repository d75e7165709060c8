"""The steps of roll-outs that the primary submits."""

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
COMPLETION_DUE_MS = 10_500.0  # after the same order; includes the wait for requests at the other versions


@dataclass
class RolloutDriverHarness:
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
        """Commits orders, and advances the time until the full weight of the first is due."""
        self.commit(2, *rollouts)
        self.present_ms += FULL_WEIGHT_DUE_MS

    def connect(self, sequence: int) -> None:
        """Connects a router that has the configuration of this sequence number in force."""
        connection = Connection(lambda connection, message: None, lambda connection: None)
        connection.node = f"r{sequence}"
        self.subscriptions.add(connection, NodeRole.ROUTER)
        subscriber = self.subscriptions.get(connection)
        assert subscriber is not None
        subscriber.pending_pull, subscriber.config_sequence = Pull(), sequence

    async def evaluate(self) -> list[Advance]:
        """Runs one evaluation and returns the steps that it submits."""
        before = len(self.steps)
        self.driver.evaluate()
        await run_ready_tasks()
        return self.steps[before:]


async def run_ready_tasks() -> None:
    """Lets every task that is ready run."""
    for _ in range(5):
        await asyncio.sleep(0)


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[RolloutDriverHarness], Awaitable[None]],
    **versions: str,
) -> None:
    async def run_scenario() -> None:
        harness = RolloutDriverHarness(versions=versions) if versions else RolloutDriverHarness()
        monkeypatch.setattr(rollout_driver, "now_ms", lambda: harness.present_ms)
        await scenario(harness)
        harness.tasks.close()

    asyncio.run(run_scenario())


def test_the_weight_grows_with_the_time_since_the_order(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(2, CANARY)
        assert await harness.evaluate() == []
        harness.present_ms += FULL_WEIGHT_DUE_MS
        (step,) = await harness.evaluate()
        assert (step.service, step.order_id) == ("s", CANARY.order_id)
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)

    run(monkeypatch, scenario)


def test_a_backup_submits_nothing_until_it_becomes_the_primary(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.order(CANARY)
        harness.is_primary = False
        assert await harness.evaluate() == []
        harness.is_primary = True
        assert len(await harness.evaluate()) == 1

    run(monkeypatch, scenario)


def test_one_step_of_a_service_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        other = rollout(service="t", duration_s=600.0)
        harness.order(CANARY, other)
        harness.answers.clear()
        assert [step.service for step in await harness.evaluate()] == ["s"], "t has no upstream of its target"
        assert await harness.evaluate() == []
        harness.answers.set()
        await run_ready_tasks()
        assert (
            len(await harness.evaluate()) == 1
        ), "the step was not committed in this scenario, so it is submitted again"

    run(monkeypatch, scenario)


def test_a_step_without_an_outcome_is_decided_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.outcome = UNKNOWN
        harness.order(CANARY)
        first, second = await harness.evaluate() + await harness.evaluate()
        assert first == second

    run(monkeypatch, scenario)


def test_a_step_that_does_not_finish_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        monkeypatch.setattr(rollout_driver, "ADVANCE_TIMEOUT_S", 0.0)
        harness.order(CANARY)
        harness.answers.clear()
        assert len(await harness.evaluate()) == 1
        assert len(await harness.evaluate()) == 1

    run(monkeypatch, scenario)


def test_a_version_that_fails_is_rolled_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(2, CANARY)
        for router in ("a/1", "b/1", "c/1"):
            harness.samples.report(router, {"s": report(rollout(), 0, 40, others=400)})
        (step,) = await harness.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.ROLLED_BACK, 0.0)
        assert step.reason

    run(monkeypatch, scenario)


def test_a_rollout_is_completed_once_all_routers_have_its_full_weight_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(5, FULL)
        assert await harness.evaluate() == []
        harness.present_ms += COMPLETION_DUE_MS
        harness.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await harness.evaluate() == [], "there is no router"
        harness.connect(5)
        harness.connect(4)
        assert await harness.evaluate() == [], "one router has an older configuration"
        for subscriber in harness.subscriptions:
            subscriber.config_sequence = 5
        (step,) = await harness.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.COMPLETED, 1.0)
        assert step.other_versions == ("v1",)

    run(monkeypatch, scenario)


def test_a_controller_that_has_just_started_completes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(5, FULL)
        harness.present_ms += COMPLETION_DUE_MS
        harness.connect(5)
        harness.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await harness.evaluate() == [], "most routers may not have connected to it yet"
        harness.present_ms += rollout_driver.WARM_UP_MS
        assert len(await harness.evaluate()) == 1

    run(monkeypatch, scenario)


def test_completion_waits_for_requests_in_flight_at_the_other_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(5, FULL)
        assert await harness.evaluate() == []
        harness.present_ms += COMPLETION_DUE_MS
        harness.connect(5)
        harness.samples.report("a/1", {"s": report(FULL, 100, others=100, others_in_flight=3)})
        assert await harness.evaluate() == []
        harness.samples.report("a/1", {"s": report(FULL, 100, others=103)})
        assert len(await harness.evaluate()) == 1

    run(monkeypatch, scenario)


def test_a_finished_rollout_gets_no_step(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(2, rollout(state=RolloutState.COMPLETED, target_weight=1.0))
        assert await harness.evaluate() == []

    run(monkeypatch, scenario)


def test_an_order_for_the_only_version_is_completed_on_schedule(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(2, CANARY)
        harness.samples.report("a/1", {"s": report(CANARY, 0, 40)})
        assert await harness.evaluate() == [], "no other version could serve, even if it fails"
        harness.present_ms += FULL_WEIGHT_DUE_MS
        (step,) = await harness.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)
        harness.commit(3, FULL)
        harness.present_ms += COMPLETION_DUE_MS - FULL_WEIGHT_DUE_MS
        assert await harness.evaluate() == [], "no router has confirmed the configuration"
        harness.connect(3)
        (step,) = await harness.evaluate()
        assert step.state is RolloutState.COMPLETED

    run(monkeypatch, scenario, a="v2", b="v2")


def test_the_target_can_be_rolled_back_once_another_version_appears(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(2, CANARY)
        assert await harness.evaluate() == []
        versioned(harness.registry, a="v1")
        for router in ("a/1", "b/1", "c/1"):
            harness.samples.report(router, {"s": report(CANARY, 0, 40, others=400)})
        (step,) = await harness.evaluate()
        assert step.state is RolloutState.ROLLED_BACK

    run(monkeypatch, scenario, b="v2")


def test_a_controller_that_learned_of_the_order_late_does_not_assume_an_only_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.rollouts.mark_outdated(harness.present_ms)
        harness.commit(2, CANARY)
        for router in ("a/1", "b/1", "c/1"):
            harness.samples.report(router, {"s": report(CANARY, 0, 40)})
        (step,) = await harness.evaluate()
        assert step.state is RolloutState.ROLLED_BACK, "it may not know the upstreams of other versions yet"

    run(monkeypatch, scenario, b="v2")


@pytest.mark.parametrize("weight", [CANARY_WEIGHT, 1.0])
@pytest.mark.parametrize("versions", [{}, {"a": "v1"}, {"b": "v2"}], ids=["none", "old", "new"])
def test_a_controller_that_has_just_started_rolls_back_nothing_for_lack_of_time(
    weight: float, versions: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        for id_ in {*harness.registry.upstreams} - {*versions}:
            del harness.registry.upstreams[id_]
        harness.rollouts.mark_outdated(harness.present_ms)
        harness.commit(5, rollout(target_weight=weight))
        harness.present_ms += 12_000.0
        assert await harness.evaluate() == [], "upstreams and routers may not have connected to it yet"
        harness.present_ms += rollout_driver.WARM_UP_MS - 1.0
        assert await harness.evaluate() == []

    run(monkeypatch, scenario)


@pytest.mark.parametrize("others", [(), ("v1",)])
def test_versions_committed_by_the_last_primary_count(
    others: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        known = rollout(target_weight=1.0, other_versions=others)
        harness.rollouts.mark_outdated(harness.present_ms)
        harness.commit(5, known)
        harness.rollouts.adopt_ages({"s": RolloutAge(known.order_id, 0.0)}, harness.present_ms)
        for router in ("a/1", "b/1", "c/1"):
            harness.samples.report(router, {"s": report(known, 0, 40, others=400)})
        steps = await harness.evaluate()
        assert [(one.state, one.other_versions) for one in steps] == (
            [(RolloutState.ROLLED_BACK, ("v1",))] if others else []
        ), "no rollback without another version"

    run(monkeypatch, scenario, b="v2")


def test_an_age_adopted_from_another_controller_does_not_make_the_target_the_only_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.rollouts.mark_outdated(harness.present_ms)
        harness.commit(2, CANARY)
        harness.rollouts.adopt_ages({"s": RolloutAge(CANARY.order_id, 0.0)}, harness.present_ms)
        assert await harness.evaluate() == []
        harness.present_ms += rollout_driver.WARM_UP_MS
        (step,) = await harness.evaluate()
        assert step.target_weight < 1.0, "it is still judged as a canary"
        assert step.other_versions is msgspec.UNSET

    run(monkeypatch, scenario, b="v2")


def test_completion_waits_for_a_lost_router_that_has_not_confirmed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(5, FULL)
        harness.connect(5)
        harness.connect(4)
        harness.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await harness.evaluate() == []
        harness.present_ms += COMPLETION_DUE_MS - 1_000.0
        assert await harness.evaluate() == []
        (lost,) = [one for one in harness.subscriptions if one.config_sequence == 4]
        harness.subscriptions.remove(lost.connection)
        harness.present_ms += 1_000.0
        assert await harness.evaluate() == [], "it may still send to the other versions"
        harness.present_ms += rollout_driver.LOST_ROUTER_GRACE_MS - 1_000.0
        (step,) = await harness.evaluate()
        assert step.state is RolloutState.COMPLETED

    run(monkeypatch, scenario)


def test_completion_waits_for_a_lost_router_only_while_there_is_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.commit(5, FULL)
        harness.connect(5)
        harness.connect(4)
        harness.samples.report("a/1", {"s": report(FULL, 100, others=100)})
        assert await harness.evaluate() == []
        harness.present_ms += COMPLETION_DUE_MS
        assert await harness.evaluate() == []
        (lost,) = [one for one in harness.subscriptions if one.config_sequence == 4]
        harness.subscriptions.remove(lost.connection)
        assert await harness.evaluate() == []
        harness.present_ms += 600.0
        (step,) = await harness.evaluate()
        assert step.state is RolloutState.COMPLETED, "less than a second is left"

    run(monkeypatch, scenario)


def test_a_controller_that_learned_of_the_order_late_raises_no_weight_on_reports_of_few_routers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RolloutDriverHarness) -> None:
        harness.rollouts.mark_outdated(harness.present_ms)
        harness.commit(2, CANARY)
        assert await harness.evaluate() == []
        age_ms = FULL_WEIGHT_DUE_MS - rollout_driver.FIRST_REPORTS_MS
        harness.rollouts.adopt_ages({"s": RolloutAge(CANARY.order_id, age_ms)}, harness.present_ms)
        harness.samples.report("a/1", {"s": report(CANARY, 100, others=1_000)})
        assert await harness.evaluate() == []
        harness.present_ms += rollout_driver.FIRST_REPORTS_MS
        (step,) = await harness.evaluate()
        assert (step.state, step.target_weight) == (RolloutState.RUNNING, 1.0)

    run(monkeypatch, scenario)
