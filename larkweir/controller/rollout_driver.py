"""Advances running roll-outs at the primary: gathers what is known of each, and submits the next step as a command."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
from larkweir_registry.records import UpstreamState
from larkweir_registry.registry import Registry
from larkweir_replication.messages import Command
from larkweir_rollouts.exposure import ExposureBounds
from larkweir_rollouts.only_version import next_step_of_only_version
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.schedule import COMPLETION_MARGIN_S, FULL_WEIGHT, View, next_step
from larkweir_rollouts.state import Rollout, RolloutState
from larkweir_rollouts.verdict import judge

from larkweir.cluster import log
from larkweir.cluster.configuration.rollout_commands import RolloutAdvance, replicated_command
from larkweir.controller.background_tasks import BackgroundTasks
from larkweir.controller.call_outcome import CallOutcome, Completed
from larkweir.controller.clock import now_ms
from larkweir.controller.committed_rollouts import CommittedRollout, CommittedRollouts
from larkweir.controller.rollout_samples import RolloutSamples
from larkweir.controller.rollout_tracks import Tracks, split_into_tracks
from larkweir.controller.subscriptions import Subscriptions

WARM_UP_MS = 2_000.0  # in which routers and upstreams find a controller that has started
FIRST_REPORTS_MS = 1_000.0  # in which most routers have pulled from it
LOST_ROUTER_GRACE_MS = 2_000.0  # for so long one that was connected may go on serving by what it had in force
ADVANCE_TIMEOUT_S = 2.0  # then the step is decided anew

Submit = Callable[[Command], Awaitable[CallOutcome]]


@dataclass(frozen=True, slots=True)
class RolloutInputs:
    """The owners of what a step is decided by."""

    rollouts: CommittedRollouts
    samples: RolloutSamples
    registry: Registry
    subscriptions: Subscriptions


class _LastSeen(NamedTuple):
    sequence: int  # of the configuration that a router had in force
    at_ms: float


@dataclass(slots=True)
class _Progress:
    """What is remembered of one running order."""

    known_since_ms: float  # by this process
    other_versions: set[str]  # that upstreams had since the order; no withdrawn ones
    is_only_version: bool  # the target had all upstreams at the order, and has had them since
    is_learned_late: bool  # the order, after a start or a cut
    most_target_ready: int = 0
    is_advancing: bool = False

    @property
    def is_warmed_up(self) -> bool:
        """A process that has just started knows few of the routers and upstreams that serve."""
        return now_ms() >= self.known_since_ms + WARM_UP_MS

    @property
    def has_first_reports(self) -> bool:
        """Whether most routers have reported by now what they have seen since the order."""
        return now_ms() >= self.known_since_ms + FIRST_REPORTS_MS


@dataclass(slots=True)
class RolloutDriver:
    """Decides by the newest committed state alone, so that a new primary goes on where the last one was.

    Attributes:
        inputs: the controller's own.
        submit: carries out a command at this controller's replica.
        is_primary: whether that replica is the primary.
        is_in_contact: whether this controller has links to a majority.
        tasks: the owner of the commands under way.
        bounds: what a version on trial may get; None for the usual.
    """

    inputs: RolloutInputs
    submit: Submit
    is_primary: Callable[[], bool]
    is_in_contact: Callable[[], bool]
    tasks: BackgroundTasks
    bounds: ExposureBounds | None = None
    _progress: dict[tuple[str, str], _Progress] = field(default_factory=dict)  # by service and order
    _routers: dict[str, _LastSeen] = field(default_factory=dict)  # connected ones and those lost just now

    def evaluate(self) -> None:
        """Takes the next step of each running roll-out, one at a time; to be called several times a second."""
        if not self.is_in_contact():
            self.inputs.rollouts.mark_outdated(now_ms())
        running = self.inputs.rollouts.running()
        self._progress = {
            key: self._progress.get(key) or self._begin(one)
            for key, one in (((one.rollout.service, one.rollout.order_id), one) for one in running)
        }
        if running:
            self._record_routers()
        for committed in running:
            self._evaluate(committed)

    def _record_routers(self) -> None:
        present_ms = now_ms()
        for node, sequence in self.inputs.subscriptions.router_sequences().items():
            self._routers[node] = _LastSeen(sequence, present_ms)
        self._routers = {
            node: seen
            for node, seen in self._routers.items()
            if present_ms < seen.at_ms + LOST_ROUTER_GRACE_MS
        }

    def _evaluate(self, committed: CommittedRollout) -> None:
        rollout, registry = committed.rollout, self.inputs.registry
        pool = self.inputs.samples.pool(rollout.service)
        tracks = split_into_tracks(rollout, registry.ready_ids(rollout.service), registry.upstreams)
        progress = self._progress[rollout.service, rollout.order_id]
        progress.most_target_ready = max(progress.most_target_ready, len(tracks.target))
        self._record_versions(rollout, progress)
        if pool is None or progress.is_advancing or not self.is_primary():
            return
        view = self._view(committed, pool, tracks, progress.most_target_ready)
        step = self._next_step(view, progress)
        if step is not None:
            if progress.other_versions or progress.is_only_version:
                step = msgspec.structs.replace(step, other_versions=tuple(sorted(progress.other_versions)))
            progress.is_advancing = True
            self.tasks.start("rollout_advance", self._advance(step, view, progress))

    def _begin(self, committed: CommittedRollout) -> _Progress:
        """An order is known from now on.

        A process that learned of it late knows nothing of the upstreams before it, but what was committed with a step.
        """
        tracks, committed_versions = (
            self._tracks_of_known_upstreams(committed.rollout),
            committed.rollout.other_versions,
        )
        if isinstance(committed_versions, msgspec.UnsetType):
            is_only_version = bool(tracks.target) and not tracks.others and not committed.is_learned_late
            return _Progress(now_ms(), set(), is_only_version, committed.is_learned_late)
        return _Progress(now_ms(), {*committed_versions}, not committed_versions, committed.is_learned_late)

    def _record_versions(self, rollout: Rollout, progress: _Progress) -> None:
        upstreams, others = self.inputs.registry.upstreams, self._tracks_of_known_upstreams(rollout).others
        progress.other_versions |= {upstreams[id_].version for id_ in others}
        progress.is_only_version &= not others

    def _tracks_of_known_upstreams(self, rollout: Rollout) -> Tracks:
        """The upstreams of its service, ready or not, as they are known here."""
        upstreams = self.inputs.registry.upstreams
        known = [
            one.id
            for one in upstreams.values()
            if one.service == rollout.service and one.state is not UpstreamState.GONE
        ]
        return split_into_tracks(rollout, known, upstreams)

    def _next_step(self, view: View, progress: _Progress) -> Advance | None:
        """Decide as the schedule does; a process that knows little yet rolls back only what is condemned.

        One that learned of the order late has no reports of most routers: it lets no weight grow on those of a few.
        """
        if progress.is_only_version:
            return next_step_of_only_version(view) if progress.is_warmed_up else None
        step = next_step(view)
        if step is None or progress.is_warmed_up:
            return step
        if step.state is RolloutState.ROLLED_BACK:
            return step if view.verdict.is_bad else None
        is_growth = step.target_weight > view.rollout.target_weight
        return None if is_growth and progress.is_learned_late and not progress.has_first_reports else step

    def _view(
        self, committed: CommittedRollout, pool: PooledSamples, tracks: Tracks, most_target_ready: int
    ) -> View:
        totals, rollout = pool.totals(), committed.rollout
        return View(
            rollout=rollout,
            elapsed_s=committed.elapsed_s(now_ms()),
            verdict=judge(pool, most_target_ready, is_control_live=rollout.target_weight < FULL_WEIGHT),
            totals=totals,
            target_ready=len(tracks.target),
            others_ready=len(tracks.others),
            are_routers_confirmed=self._are_routers_confirmed(committed),
            others_in_flight=totals.others.in_flight,
            bounds=self.bounds,
        )

    def _are_routers_confirmed(self, committed: CommittedRollout) -> bool:
        """Whether there are routers, and all that are connected have that configuration in force.

        As long as there is time, so must those that were lost just now: they may still send to the others.
        """
        rollout, sequence = committed.rollout, committed.sequence
        if not self._progress[rollout.service, rollout.order_id].is_warmed_up:
            return False
        in_force = list(self.inputs.subscriptions.router_sequences().values())
        if not in_force:
            return False
        if rollout.duration_s - committed.elapsed_s(now_ms()) >= COMPLETION_MARGIN_S:
            in_force.extend(seen.sequence for seen in self._routers.values())
        return min(in_force) >= sequence

    async def _advance(self, step: Advance, view: View, progress: _Progress) -> None:
        try:
            async with asyncio.timeout(ADVANCE_TIMEOUT_S):
                outcome = await self.submit(replicated_command(RolloutAdvance(step)))
        except TimeoutError:
            return
        finally:
            progress.is_advancing = False
        if isinstance(outcome, Completed):
            _log_advanced(step, view)


def _log_advanced(step: Advance, view: View) -> None:
    log.event(
        "rollout_advanced",
        service=step.service,
        order=step.order_id,
        state=step.state,
        weight=step.target_weight,
        reason=step.reason,
        elapsed_s=round(view.elapsed_s, 3),
        answers=view.verdict.target_answers,
        failures=sum(route.failed for route in view.totals.target.routes.values()),
        evidence=round(view.verdict.evidence, 3),
    )
