"""Selects the upstream of each attempt of a request, by its track, its prefix owner and the upstreams already tried."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.upstream_selection import SelectionReason, UpstreamSelector

from larkweir.router.admission import Admission
from larkweir.router.data_plane import DataPlane
from larkweir.router.prefix_affinity import PrefixOwner
from larkweir.router.rollout_tracks import Track, allowed_tracks, draw_track


class SelectedUpstream(NamedTuple):
    """The upstream that was selected for an attempt.

    Attributes:
        id: its id in the registry.
        selector: the selector of its track; the attempt reports its start and end there.
        track: the track that it was selected from; None if the service has no roll-out.
        reason: why it was selected.
        is_cached: whether the fleet has sent the prompt's prefix to it before.
    """

    id: str
    selector: UpstreamSelector
    track: Track | None
    reason: SelectionReason
    is_cached: bool


class UpstreamChoice:
    """Selects upstreams for the attempts of one request.

    The track is drawn once per request. Each attempt checks it against the roll-out that is in force by then.
    """

    def __init__(self, plane: DataPlane, admission: Admission, prompt: Prompt, received_ms: float) -> None:
        """Draw the track of the request.

        Args:
            plane: the router's shared state.
            admission: the route and service of the request.
            prompt: the prompt of the request.
            received_ms: when the request was received, on the event loop's clock.
        """
        self._plane = plane
        self._service = admission.service
        self._prompt = prompt
        self._latency_deadline_ms = received_ms + admission.route.target_latency_ms
        self._prefix_owner: PrefixOwner | None = None
        self._tried: dict[str, Track] = {}  # by upstream id
        self._drawn_track = self._draw_track()

    def _draw_track(self) -> Track:
        upstreams = self._plane.upstreams
        drawn = draw_track(upstreams.routed_rollout(self._service), self._plane.rng)
        if drawn is Track.TARGET and not upstreams.selector(self._service, drawn).ready_count:
            return Track.OTHERS
        return drawn

    def _allowed_tracks(self) -> tuple[Track, ...]:
        rollout = self._plane.upstreams.routed_rollout(self._service)
        return allowed_tracks(rollout, self._drawn_track, is_first=not self._tried)

    @property
    def needs_prefix_owner(self) -> bool:
        """Whether to ask the controllers which engine owns the prompt's prefix.

        Controllers assign prefixes only for the version that has the service's traffic, not for a version on trial.
        """
        if not (OPTIONS.controller_prefix_owners and self._prompt.is_shared):
            return False
        rollout = self._plane.upstreams.routed_rollout(self._service)
        is_on_trial = (
            self._drawn_track is Track.TARGET and rollout is not None and rollout.effective_weight < 1.0
        )
        return not is_on_trial and self._plane.is_engine(self._service)

    def find_prefix_owner(self, body_bytes: int, on_found: Callable[[], None]) -> None:
        """Look up the owner of the prefix, then call `on_found` once (before returning if the owner is known)."""

        def on_owner(owner: PrefixOwner | None) -> None:
            self._prefix_owner = owner
            on_found()

        is_ready = self._plane.upstreams.selector(self._service, self._allowed_tracks()[0]).is_ready
        self._plane.prefix_affinity.find_owner(self._service, self._prompt, body_bytes, is_ready, on_owner)

    def select(self, now_ms: float) -> SelectedUpstream | None:
        """Select the upstream of the next attempt. Returns None if no upstream is left."""
        owner = self._prefix_owner
        for track in self._allowed_tracks():
            selector = self._plane.upstreams.selector(self._service, track)
            id_ = selector.select(
                self._prompt,
                self._tried,
                now_ms,
                owner.engine if owner is not None else None,
                is_cached=owner is not None and owner.is_cached,
                remaining_ms=self._latency_deadline_ms - now_ms,
            )
            if id_ is not None:
                self._tried[id_] = track
                is_cached = owner is not None and owner.is_cached and owner.engine == id_
                has_rollout = self._plane.upstreams.routed_rollout(self._service) is not None
                reported_track = track if has_rollout else None
                return SelectedUpstream(id_, selector, reported_track, selector.last_reason, is_cached)
        return None

    @property
    def has_untried_upstream(self) -> bool:
        """Whether another attempt may find an untried upstream.

        This is an estimate: it only compares the number of ready upstreams with the number already tried.
        """
        tracks = self._allowed_tracks()
        selectors = [self._plane.upstreams.selector(self._service, track) for track in tracks]
        tried = sum(track in tracks for track in self._tried.values())
        return sum(selector.ready_count for selector in selectors) > tried
