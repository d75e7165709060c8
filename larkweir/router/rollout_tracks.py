"""The two tracks of a service with a roll-out: which one a request goes to, and which upstreams each consists of.

Each track has its own selector, so that a request of one track never sees an upstream of the other. Both selectors list
all upstreams of the service, those of the other track as not ready: what is in flight at an upstream that changes its
track stays counted. Pure logic.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from enum import StrEnum
from random import Random

import msgspec
from larkweir_balancing.token_list import UpstreamStatus
from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_rollouts.canary import canary_upstreams
from larkweir_rollouts.state import Rollout, RolloutState

ORDER_WAIT_MS = 10_000.0  # in which an order for a version whose upstreams have just come may still arrive


class Track(StrEnum):
    """A part of a service's upstreams. The values are published in the router's debug log."""

    TARGET = "target"  # the upstreams of the target version
    OTHERS = "others"  # all others; without a roll-out all


def draw_track(rollout: Rollout | None, rng: Random) -> Track:
    """Draw the track of a new request by the target's weight. Draws nothing where only one track is possible.

    Args:
        rollout: of the request's service; None: there is none.
        rng: that is drawn from.
    """
    weight = rollout.effective_weight if rollout is not None else 0.0
    if weight <= 0.0:
        return Track.OTHERS
    if weight >= 1.0:
        return Track.TARGET
    return Track.TARGET if rng.random() < weight else Track.OTHERS


def allowed_tracks(rollout: Rollout | None, drawn: Track, *, is_first: bool) -> tuple[Track, ...]:
    """The tracks that an attempt may go to, in order of preference.

    While the target version is on trial only a request that was drawn for it goes there, and with its first attempt
    alone; whatever else goes wrong, no other one does.

    Args:
        rollout: as it is in force now, which may be another than when the track was drawn.
        drawn: the track that was drawn for the request.
        is_first: the request has not been sent to any upstream.
    """
    weight = rollout.effective_weight if rollout is not None else 0.0
    if weight >= 1.0 or (weight > 0.0 and is_first and drawn is Track.TARGET):
        return (Track.TARGET, Track.OTHERS)
    return (Track.OTHERS,)


class ServiceTracks:
    """The selectors of one service. Without a roll-out there is one, which has all upstreams."""

    def __init__(self, make_selector: Callable[[], UpstreamSelector]) -> None:
        """`make_selector`: makes one that lists nothing yet."""
        self._make_selector = make_selector
        self._others = make_selector()
        self._target: UpstreamSelector | None = None
        self._listed_since_ms: dict[str, float] | None = None  # by version; None before the first list
        self._waiting: frozenset[str] = frozenset()  # versions for which an order may still come
        self._is_only_version = False  # the target had all upstreams at the order, and has had them since
        self.rollout: Rollout | None = None

    def selector(self, track: Track) -> UpstreamSelector:
        """The selector of that track; that of the others where there is no roll-out."""
        if track is Track.TARGET and self._target is not None:
            return self._target
        return self._others

    def selectors(self) -> Iterator[UpstreamSelector]:
        """All of them."""
        yield self._others
        if self._target is not None:
            yield self._target

    def set_rollout(self, rollout: Rollout | None) -> None:
        """Another state of the roll-out is in force, or another roll-out, or none; `update` is to follow.

        The upstreams to which the traffic has moved are the others of the next roll-out. A new track begins with the
        prefill times that were learned at the others.
        """
        before, self.rollout = self.rollout, rollout
        if rollout is not None and (before is None or rollout.order_id != before.order_id):
            self._is_only_version = self._has_target_alone(rollout)
        if before is not None and (rollout is None or rollout.order_id != before.order_id):
            if self._target is not None and before.state is RolloutState.COMPLETED:
                self._others = self._target
            self._target = None
        if rollout is not None and self._target is None:
            self._target = self._make_selector()
            self._target.prefill_time = replace(self._others.prefill_time)

    @property
    def routed_rollout(self) -> Rollout | None:
        """The roll-out as requests follow it.

        All go to the target where all upstreams were of its version already when the order came. That no other version
        is known is not enough: a process that has just started may know a few upstreams only.
        """
        if self.rollout is None or not self.rollout.is_running or not self._is_only_version:
            return self.rollout
        return msgspec.structs.replace(self.rollout, target_weight=1.0)

    def update(self, upstreams: Sequence[Upstream], now_ms: float) -> None:
        """List the service's upstreams, each as ready on its own track alone.

        Args:
            upstreams: all of the service that are not gone.
            now_ms: the event loop's time.
        """
        versions = {upstream.version for upstream in upstreams}
        known = dict.fromkeys(versions, -math.inf) if self._listed_since_ms is None else self._listed_since_ms
        self._listed_since_ms = {version: known.get(version, now_ms) for version in sorted(versions)}
        self._waiting = self._waiting_versions(now_ms)
        self._is_only_version &= not any(self._is_other(upstream) for upstream in upstreams)
        target_ids = self._target_ids(upstreams)
        others = {
            upstream.id: _status(upstream, takes_requests=self._is_other(upstream)) for upstream in upstreams
        }
        self._others.update(others, now_ms, has_tracks=self.rollout is not None)
        if self._target is not None:
            target = {
                upstream.id: _status(upstream, takes_requests=upstream.id in target_ids)
                for upstream in upstreams
            }
            self._target.update(target, now_ms, has_tracks=True)

    def is_due(self, now_ms: float) -> bool:
        """Whether `update` is to be called again, as an order was waited for in vain."""
        return bool(self._waiting) and self._waiting_versions(now_ms) != self._waiting

    def _waiting_versions(self, now_ms: float) -> frozenset[str]:
        """Those that have come since a completion, and that an order may still put on trial."""
        if self.rollout is None or self.rollout.state is not RolloutState.COMPLETED:
            return frozenset()
        return frozenset(
            version
            for version, since_ms in (self._listed_since_ms or {}).items()
            if self.rollout.is_new_since_completion(version) and now_ms < since_ms + ORDER_WAIT_MS
        )

    def _has_target_alone(self, rollout: Rollout) -> bool:
        """Whether upstreams are known, all of the target version but for withdrawn ones."""
        versions = self._listed_since_ms or {}
        is_known = any(rollout.is_target(version) for version in versions)
        return is_known and not any(rollout.is_other(version) for version in versions)

    def _is_target(self, upstream: Upstream) -> bool:
        if self.rollout is None or upstream.version in self._waiting:
            return False
        return self.rollout.is_target(upstream.version)

    def _is_other(self, upstream: Upstream) -> bool:
        if self.rollout is None or upstream.version in self._waiting:
            return True
        return self.rollout.is_other(upstream.version)

    def _target_ids(self, upstreams: Sequence[Upstream]) -> frozenset[str]:
        """The upstreams of the target version that take requests: at small weights a few, so that these get load."""
        rollout = self.routed_rollout
        if rollout is None:
            return frozenset()
        target = [upstream for upstream in upstreams if self._is_target(upstream)]
        if not rollout.is_running:
            return frozenset(upstream.id for upstream in target)
        responsive = sorted(upstream.id for upstream in target if _is_responsive(upstream))
        others_count = sum(self._is_other(upstream) and _is_responsive(upstream) for upstream in upstreams)
        return canary_upstreams(responsive, others_count, rollout.target_weight)


def _is_responsive(upstream: Upstream) -> bool:
    return upstream.state is UpstreamState.READY and not upstream.has_timed_out


def _status(upstream: Upstream, *, takes_requests: bool) -> UpstreamStatus:
    is_ready = upstream.state is UpstreamState.READY and takes_requests
    return UpstreamStatus(is_ready, upstream.has_timed_out)
