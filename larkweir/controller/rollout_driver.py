"""Advances running roll-outs at the primary: evaluates the state of each and submits its next step as a command."""

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

WARM_UP_MS = 2_000.0  # by then, routers and upstreams have connected to a controller that has just started
FIRST_REPORTS_MS = 1_000.0  # by then, most routers have sent a pull to a controller that has just started
LOST_ROUTER_GRACE_MS = 2_000.0  # a lost router may serve with its last configuration for this long
ADVANCE_TIMEOUT_S = 2.0  # after it the step is decided again

Submit = Callable[[Command], Awaitable[CallOutcome]]


@dataclass(frozen=True, slots=True)
class RolloutInputs:
    """The components from whose state steps are decided."""

    rollouts: CommittedRollouts
    samples: RolloutSamples
    registry: Registry
    subscriptions: Subscriptions


class _LastSeen(NamedTuple):
    sequence: int  # of the configuration in force at a router
    at_ms: float


@dataclass(slots=True)
class _Progress:
    """What this process has observed of one running order."""

    known_since_ms: float  # when this process learned of the order
    other_versions: set[str]  # of upstreams since the order, except those withdrawn before it
    is_only_version: bool  # all upstreams have had the target version since the order
    is_learned_late: bool  # the order may be older than `known_since_ms`, after a start or lost contact
    most_target_ready: int = 0
    is_advancing: bool = False

    @property
    def is_warmed_up(self) -> bool:
        """Whether enough time has passed to know most routers and upstreams, even if this process had just started."""
        return now_ms() >= self.known_since_ms + WARM_UP_MS

    @property
    def has_first_reports(self) -> bool:
        """Whether most routers have had the time to report their samples of the order."""
        return now_ms() >= self.known_since_ms + FIRST_REPORTS_MS


@dataclass(slots=True)
class RolloutDriver:
    """Decides steps from the newest committed state alone, so that a new primary continues where the last one stopped.

    Attributes:
        inputs: the components of this controller.
        submit: submits a command to this controller's replica.
        is_primary: returns whether that replica is the primary.
        is_in_contact: returns whether this controller is connected to a majority.
        tasks: runs the submissions in the background.
        bounds: limits the requests that the target version may get; None for the default.
    """

    inputs: RolloutInputs
    submit: Submit
    is_primary: Callable[[], bool]
    is_in_contact: Callable[[], bool]
    tasks: BackgroundTasks
    bounds: ExposureBounds | None = None
    _progress: dict[tuple[str, str], _Progress] = field(default_factory=dict)  # by service and order
    _routers: dict[str, _LastSeen] = field(default_factory=dict)  # connected or recently lost, by node

    def evaluate(self) -> None:
        """Submits the next step of each running roll-out unless one is pending. Called several times a second."""
        if not self.is_in_contact():
            self.inputs.rollouts.mark_outdated(now_ms())
        running = self.inputs.rollouts.running()
        self._progress = {
            key: self._progress.get(key) or self._begin(committed)
            for key, committed in (
                ((committed.rollout.service, committed.rollout.order_id), committed) for committed in running
            )
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
        """Starts to track an order that this process has learned of.

        Versions that were committed with an earlier step are adopted. Without them, the target counts as the only
        version if all known upstreams have it. This does not apply if the process may have learned of the order late:
        it may then not know the upstreams that there were at the order.
        """
        tracks, committed_versions = self._all_tracks(committed.rollout), committed.rollout.other_versions
        if isinstance(committed_versions, msgspec.UnsetType):
            is_only_version = bool(tracks.target) and not tracks.others and not committed.is_learned_late
            return _Progress(now_ms(), set(), is_only_version, committed.is_learned_late)
        return _Progress(now_ms(), {*committed_versions}, not committed_versions, committed.is_learned_late)

    def _record_versions(self, rollout: Rollout, progress: _Progress) -> None:
        upstreams, others = self.inputs.registry.upstreams, self._all_tracks(rollout).others
        progress.other_versions |= {upstreams[id_].version for id_ in others}
        progress.is_only_version &= not others

    def _all_tracks(self, rollout: Rollout) -> Tracks:
        """Returns the tracks of all known upstreams of the roll-out's service, ready or not."""
        upstreams = self.inputs.registry.upstreams
        known = [
            upstream.id
            for upstream in upstreams.values()
            if upstream.service == rollout.service and upstream.state is not UpstreamState.GONE
        ]
        return split_into_tracks(rollout, known, upstreams)

    def _next_step(self, view: View, progress: _Progress) -> Advance | None:
        """Returns the step that the schedule gives, or None where this process does not know enough for it yet.

        Until it is warmed up, it takes no step for an only version, and rolls back only a target that the verdict calls
        bad. If it also learned of the order late, it raises no weight before most routers have had time to report.
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
        """Returns whether there are routers, and all connected ones have the roll-out's configuration in force.

        While enough time is left, recently lost routers must have had it in force too: otherwise they may still send
        requests to the other versions.
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
