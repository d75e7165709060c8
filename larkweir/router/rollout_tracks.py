"""The two tracks of a service with a roll-out: the upstreams of each track, and the track of each request.

Each track has its own selector, so that a request on one track is never sent to an upstream of the other. Both
selectors list all upstreams of the service, and those of the other track as not ready: the requests in flight at an
upstream stay counted when it changes its track. Pure logic.
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

# After a completed roll-out, the upstreams of a version that appears later stay on the track `OTHERS` for this long, as
# an order for that version may still arrive.
ORDER_WAIT_MS = 10_000.0


class Track(StrEnum):
    """A part of a service's upstreams. The values appear in the router's debug log."""

    TARGET = "target"  # the upstreams of the target version
    OTHERS = "others"  # all other upstreams; without a roll-out, all upstreams


def draw_track(rollout: Rollout | None, rng: Random) -> Track:
    """Draw the track of a new request by the target's weight. Uses no random number if only one track is possible.

    Args:
        rollout: the roll-out of the request's service, if any.
        rng: the random generator.
    """
    weight = rollout.effective_weight if rollout is not None else 0.0
    if weight <= 0.0:
        return Track.OTHERS
    if weight >= 1.0:
        return Track.TARGET
    return Track.TARGET if rng.random() < weight else Track.OTHERS


def allowed_tracks(rollout: Rollout | None, drawn: Track, *, is_first: bool) -> tuple[Track, ...]:
    """Return the tracks that an attempt may go to, in order of preference.

    While the target version is on trial, only the first attempt of a request that was drawn for the target may go
    there. All other attempts must go to the other upstreams, even if none of those is available.

    Args:
        rollout: the roll-out in force now, which may have changed since the track was drawn.
        drawn: the track that was drawn for the request.
        is_first: whether no upstream has been selected for the request yet.
    """
    weight = rollout.effective_weight if rollout is not None else 0.0
    if weight >= 1.0 or (weight > 0.0 and is_first and drawn is Track.TARGET):
        return (Track.TARGET, Track.OTHERS)
    return (Track.OTHERS,)


class ServiceTracks:
    """The selectors of one service. Without a roll-out there is only one, which lists all upstreams."""

    def __init__(self, make_selector: Callable[[], UpstreamSelector]) -> None:
        """Create the tracks. `make_selector` returns a selector without upstreams."""
        self._make_selector = make_selector
        self._others = make_selector()
        self._target: UpstreamSelector | None = None
        self._listed_since_ms: dict[str, float] | None = None  # by version; None before the first `update`
        self._awaiting_order: frozenset[str] = frozenset()  # versions for which an order may still arrive
        # Whether all upstreams had the target version when the order arrived, and none had another one since.
        self._is_target_only_version = False
        self.rollout: Rollout | None = None

    def selector(self, track: Track) -> UpstreamSelector:
        """Return the selector of a track. Without a roll-out, this is always the selector of `OTHERS`."""
        if track is Track.TARGET and self._target is not None:
            return self._target
        return self._others

    def selectors(self) -> Iterator[UpstreamSelector]:
        """Iterate over all selectors."""
        yield self._others
        if self._target is not None:
            yield self._target

    def set_rollout(self, rollout: Rollout | None) -> None:
        """Apply a new roll-out, a new state of the current one, or its removal. Call `update` afterwards.

        After a completed roll-out, the upstreams of its target are the `OTHERS` track of the next one. A new target
        track starts with the prefill times learned on the `OTHERS` track.
        """
        before, self.rollout = self.rollout, rollout
        if rollout is not None and (before is None or rollout.order_id != before.order_id):
            self._is_target_only_version = self._has_only_target_version(rollout)
        if before is not None and (rollout is None or rollout.order_id != before.order_id):
            if self._target is not None and before.state is RolloutState.COMPLETED:
                self._others = self._target
            self._target = None
        if rollout is not None and self._target is None:
            self._target = self._make_selector()
            self._target.prefill_time = replace(self._others.prefill_time)

    @property
    def routed_rollout(self) -> Rollout | None:
        """The roll-out as it applies to requests.

        If all upstreams already had the target version when the order arrived, all requests go to the target. It is not
        enough that no other version is known now: a process that has just started may know only a few upstreams.
        """
        if self.rollout is None or not self.rollout.is_running or not self._is_target_only_version:
            return self.rollout
        return msgspec.structs.replace(self.rollout, target_weight=1.0)

    def update(self, upstreams: Sequence[Upstream], now_ms: float) -> None:
        """Update the upstreams of both selectors. Each upstream is ready only on its own track.

        Args:
            upstreams: all upstreams of the service that are not gone.
            now_ms: the event loop's time.
        """
        versions = {upstream.version for upstream in upstreams}
        known = dict.fromkeys(versions, -math.inf) if self._listed_since_ms is None else self._listed_since_ms
        self._listed_since_ms = {version: known.get(version, now_ms) for version in sorted(versions)}
        self._awaiting_order = self._versions_awaiting_order(now_ms)
        self._is_target_only_version &= not any(self._is_other(upstream) for upstream in upstreams)
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

    def needs_update(self, now_ms: float) -> bool:
        """Whether to call `update` again because some version's wait for an order has expired."""
        return bool(self._awaiting_order) and self._versions_awaiting_order(now_ms) != self._awaiting_order

    def _versions_awaiting_order(self, now_ms: float) -> frozenset[str]:
        """Return the versions that appeared after a completion, and that an order may still put on trial."""
        if self.rollout is None or self.rollout.state is not RolloutState.COMPLETED:
            return frozenset()
        return frozenset(
            version
            for version, since_ms in (self._listed_since_ms or {}).items()
            if self.rollout.is_new_since_completion(version) and now_ms < since_ms + ORDER_WAIT_MS
        )

    def _has_only_target_version(self, rollout: Rollout) -> bool:
        """Whether there are upstreams of the target version, and none of any other version except withdrawn ones."""
        versions = self._listed_since_ms or {}
        is_known = any(rollout.is_target(version) for version in versions)
        return is_known and not any(rollout.is_other(version) for version in versions)

    def _is_target(self, upstream: Upstream) -> bool:
        if self.rollout is None or upstream.version in self._awaiting_order:
            return False
        return self.rollout.is_target(upstream.version)

    def _is_other(self, upstream: Upstream) -> bool:
        if self.rollout is None or upstream.version in self._awaiting_order:
            return True
        return self.rollout.is_other(upstream.version)

    def _target_ids(self, upstreams: Sequence[Upstream]) -> frozenset[str]:
        """Return the upstreams of the target version that take requests.

        At small weights these are only a few, so that each of them gets enough load.
        """
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
