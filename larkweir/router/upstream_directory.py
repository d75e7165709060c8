"""The upstreams that a router knows, and the selectors of each service."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random

from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_rollouts.state import Rollout

from larkweir.router.rollout_tracks import ServiceTracks, Track


class UpstreamDirectory:
    """Owns the known upstreams, the selectors of their services and the set of ejected upstreams.

    Upstreams are identified by their ids in the registry.
    """

    def __init__(
        self,
        rng: Random,
        is_engine: Callable[[str], bool],
        has_idle_connection: Callable[[str], bool],
        on_gone: Callable[[str], None],
    ) -> None:
        """Create a directory without upstreams.

        Args:
            rng: the random generator of all selectors.
            is_engine: tells whether the upstreams of a service are model engines.
            has_idle_connection: tells whether the router has an idle connection to an address (`IP:PORT`).
            on_gone: called with the address of each upstream that has gone.
        """
        self._rng = rng
        self._is_engine = is_engine
        self._address_has_idle_connection = has_idle_connection
        self._on_gone = on_gone
        self._upstreams: dict[str, Upstream] = {}
        self._services: dict[str, ServiceTracks] = {}
        self.rollouts: Mapping[str, Rollout] = {}  # by service; changed only by `set_rollouts`
        self._ejected: set[str] = set()

    def __contains__(self, id_: str) -> bool:
        """Whether the upstream is known and not gone."""
        return id_ in self._upstreams

    def address(self, id_: str) -> str:
        """Return the address that the upstream listens on (`IP:PORT`). Raises KeyError if it is unknown."""
        return self._upstreams[id_].address

    @property
    def has_ready(self) -> bool:
        """Whether any upstream of any service is ready."""
        return any(upstream.state is UpstreamState.READY for upstream in self._upstreams.values())

    def version(self, id_: str) -> str:
        """Return the software version of the upstream; empty if unknown."""
        upstream = self._upstreams.get(id_)
        return upstream.version if upstream is not None else ""

    def is_leaving(self, id_: str) -> bool:
        """Whether the upstream is draining, gone or unknown."""
        upstream = self._upstreams.get(id_)
        return upstream is None or upstream.state is not UpstreamState.READY

    def selector(self, service: str, track: Track = Track.OTHERS) -> UpstreamSelector:
        """Return the selector of a track of a service. It is created at the first use."""
        return self._tracks(service).selector(track)

    def routed_rollout(self, service: str) -> Rollout | None:
        """Return the roll-out of a service as it applies to requests; None if there is none."""
        if service not in self.rollouts:
            return None
        return self._tracks(service).routed_rollout

    def _tracks(self, service: str) -> ServiceTracks:
        tracks = self._services.get(service)
        if tracks is None:
            tracks = self._services[service] = ServiceTracks(lambda: self._new_selector(service))
            tracks.set_rollout(self.rollouts.get(service))
            self._update_selectors(service, 0.0)
        return tracks

    def _new_selector(self, service: str) -> UpstreamSelector:
        selector = UpstreamSelector(
            self._rng, is_engine=self._is_engine(service), has_idle_connection=self._has_idle_connection
        )
        selector.set_ejected(self._ejected)
        return selector

    def _selectors(self) -> Iterator[UpstreamSelector]:
        for tracks in self._services.values():
            yield from tracks.selectors()

    def _has_idle_connection(self, id_: str) -> bool:
        upstream = self._upstreams.get(id_)
        return upstream is not None and self._address_has_idle_connection(upstream.address)

    def own_prefill_backlog(self) -> dict[str, int]:
        """Return, by engine, the prompt tokens of this router's calls that wait for their first event."""
        backlog: dict[str, int] = {}
        for selector in self._selectors():
            for engine, tokens in selector.own_prefill_backlog().items():
                backlog[engine] = backlog.get(engine, 0) + tokens
        return backlog

    def set_peer_prefill_backlog(self, tokens: dict[str, float]) -> None:
        """Set the prefill backlog (prompt tokens, by engine) that was last reported for all other routers together."""
        for selector in self._selectors():
            selector.set_peer_prefill_backlog(tokens)

    def set_ejected(self, ids: set[str]) -> None:
        """Set the ejected upstreams. They are not selected as long as other upstreams are left."""
        self._ejected = ids
        for selector in self._selectors():
            selector.set_ejected(ids)

    def update(self, changed: Iterable[Upstream], now_ms: float) -> None:
        """Apply changes of the registry.

        Args:
            changed: the upstreams that are new or have changed.
            now_ms: the event loop's time.
        """
        services = set()
        for upstream in changed:
            before = self._upstreams.get(upstream.id)
            services.add(upstream.service or (before.service if before else ""))
            if upstream.state is UpstreamState.GONE:
                self._upstreams.pop(upstream.id, None)
                if before is not None:
                    self._on_gone(before.address)
            else:
                self._upstreams[upstream.id] = upstream
        for service in services:
            if service in self._services:
                self._update_selectors(service, now_ms)

    def set_rollouts(
        self, rollouts: Mapping[str, Rollout], now_ms: float, *, had_configuration: bool = False
    ) -> None:
        """Apply the roll-outs of a new configuration, and update the selectors of services whose roll-out has changed.

        Args:
            rollouts: the roll-outs, by service.
            now_ms: the event loop's time.
            had_configuration: whether a configuration was in force before this one. If so, the tracks of each service
                record its upstreams before the roll-out takes effect.
        """
        if had_configuration:
            for service in rollouts:
                self._tracks(service)  # records the upstreams that are known before the order takes effect
        before, self.rollouts = self.rollouts, rollouts
        for service, tracks in self._services.items():
            if before.get(service) != rollouts.get(service):
                tracks.set_rollout(rollouts.get(service))
                self._update_selectors(service, now_ms)

    def tick(self, now_ms: float) -> None:
        """Update services whose upstreams have waited too long for an order. Call this several times a second."""
        for service, tracks in self._services.items():
            if tracks.needs_update(now_ms):
                self._update_selectors(service, now_ms)

    def _update_selectors(self, service: str, now_ms: float) -> None:
        listed = [upstream for upstream in self._upstreams.values() if upstream.service == service]
        self._services[service].update(listed, now_ms)
