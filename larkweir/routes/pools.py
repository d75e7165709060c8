"""The settings of each pool, and the upstreams that belong to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from hashlib import blake2b

from larkweir_balancing.interface import ServerEntry, ServerState, Settings

from larkweir.config.options import Operator, Pool
from larkweir.config.platform import Config
from larkweir.config.routing import DEFAULT, inherited, parts
from larkweir.routes.subsets import ring


def referenced_pools(options: Operator) -> list[str]:
    """The pools that any route can send to, after the default pool, which always exists and requests the list."""
    found = [DEFAULT]
    for route in options.routes.values():
        for name in (route.pool, *parts(route), *route.fallback, *((route.mirror,) if route.mirror else ())):
            if name not in found:
                found.append(name)
    return found


def settings_of(pool: Pool, settings: Settings, main: bool) -> Settings:
    """The platform's settings with those of the pool. A pool can't raise the number of attempts, nor the pace of slow
    start above the limit that `fall_multiple` sets. A pool may not loosen the settings that the balancer's guarantees
    depend on: one final answer in time for each request, another attempt only where the request's class allows it, no
    new requests to a draining server, and no overload of a server that has just started.
    """
    tuning = settings.tuning
    if pool.ratio is not None:
        tuning = replace(tuning, retry_ratio=pool.ratio)
    if pool.saved is not None:
        tuning = replace(tuning, retry_cap=pool.saved)
    if pool.pace is not None:
        tuning = replace(tuning, cold_pace=min(pool.pace, 1.0 / settings.fall_multiple))
    attempts = settings.max_attempts if pool.attempts is None else min(settings.max_attempts, pool.attempts)
    return replace(
        settings,
        tuning=tuning,
        max_attempts=attempts,
        # Only the main pool requests the list; all pools receive it.
        on_request_discovery=settings.on_request_discovery and main,
    )


class Members:
    """Selects a pool's upstreams from the complete list: by zone, machine type and cell, or by the pool's fixed list.

    If the pool has a subset size, only the subset for this balancer is selected. Upstreams of an evacuated zone are
    marked as draining.
    """

    def __init__(
        self,
        pool: Pool,
        config: Config,
        fixed: Mapping[int, ServerEntry],
        stable_name: Callable[[int], str] = str,
    ) -> None:
        """Read the pool's conditions.

        Args:
            pool: the pool's table of the operator file.
            config: the platform's configuration.
            fixed: the upstreams of all fixed lists, by number; `own` holds the numbers of those in this pool.
            stable_name: maps this process's number of an upstream to a name that is the same at every balancer.
        """
        zones = {name: n for n, name in enumerate(config.zones)}
        kinds = {name: n for n, name in enumerate(config.kinds)}
        self._zones = frozenset(zones.get(name, -1) for name in pool.zones or ())
        self._kinds = frozenset(kinds.get(name, -1) for name in pool.kinds or ())
        self._cells = frozenset(int(item) for item in pool.cells or ())
        # By evacuated zone: the fraction of its upstreams that is marked as draining.
        self._evacuated = {zones.get(name, -1): 1.0 for name in pool.evacuated or ()}
        self._subset = pool.subset or 0
        self._me, self._balancer_count = config.settings.me, config.settings.balancer_count
        self._fixed = fixed
        self._stable_name = stable_name
        self.own: frozenset[int] | None = None  # upstreams of the fixed list; None: those of discovery

    def __call__(self, entries: Iterable[ServerEntry]) -> list[ServerEntry]:
        if self.own is not None:
            found = [entry for entry in entries if entry.server in self.own]
            if self._zones:
                found = [entry for entry in found if entry.zone in self._zones]
        else:
            found = [entry for entry in entries if entry.server not in self._fixed and self._fits(entry)]
        if self._subset and self._subset < len(found):
            by = {str(entry.server): entry for entry in found}
            # Draining upstreams stay in the ring, so that they move no others before they are gone.
            found = [by[name] for name in ring(list(by), self._me, self._balancer_count, self._subset)]
        if not self._evacuated:
            return found
        draining = {
            server
            for zone, part in self._evacuated.items()
            for server in evacuated_servers(
                (entry.server for entry in found if entry.zone == zone), part, self._stable_name
            )
        }
        return [
            replace(entry, state=ServerState.DRAINING)
            if entry.server in draining and entry.state is ServerState.READY
            else entry
            for entry in found
        ]

    def set_evacuated_share(self, zone: int, part: float) -> bool:
        """Set the fraction of an evacuated zone that is marked as draining. Returns whether it has changed."""
        before = self._evacuated.get(zone)
        if before is None or before == part:
            return False
        self._evacuated[zone] = part
        return True

    def _fits(self, entry: ServerEntry) -> bool:
        return (
            (not self._zones or entry.zone in self._zones)
            and (not self._kinds or entry.kind in self._kinds)
            and (not self._cells or entry.cell in self._cells)
        )


def evacuated_servers(servers: Iterable[int], part: float, stable_name: Callable[[int], str]) -> list[int]:
    """The given fraction of a zone's upstreams, rounded down, in the order in which they are evacuated.

    The order depends on their names only, so that every balancer that knows the same upstreams selects the same ones.
    """
    if part >= 1.0:
        return list(servers)
    order = sorted(servers, key=lambda server: _evacuation_order(stable_name(server)))
    return order[: int(part * len(order) + 1e-9)]


def _evacuation_order(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8, person=b"evacuate").digest(), name


def resolve_pools(
    options: Operator, zones: Sequence[str]
) -> tuple[dict[str, Pool], dict[str, dict[str, str]]]:
    """All pools in use, with the settings inherited from their parents. A pool that spills is divided into one sub-pool
    per zone, so that a request stays in one zone while it is in one sub-pool; the second result has the names of these
    sub-pools by pool and zone.
    """
    found: dict[str, Pool] = {}
    parts_: dict[str, dict[str, str]] = {}
    for name in referenced_pools(options):
        pool = inherited(name, options.pools)
        if not pool.spill:
            found[name] = pool
            continue
        if name == DEFAULT:  # needed to request the list
            found[name] = pool
        parts_[name] = {zone: f"{name}@{zone}" for zone in pool.zones or zones}
        for zone, part in parts_[name].items():
            found[part] = Pool(**(vars(pool) | {"zones": (zone,)}))
    return found, parts_
