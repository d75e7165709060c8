"""What of the platform's settings and list is a pool's own."""

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
    """The pools that any route can send to, the default first: that one is always there, and asks for the list."""
    found = [DEFAULT]
    for route in options.routes.values():
        for name in (route.pool, *parts(route), *route.fallback, *((route.mirror,) if route.mirror else ())):
            if name not in found:
                found.append(name)
    return found


def settings_of(pool: Pool, settings: Settings, main: bool) -> Settings:
    """The platform's settings with what the pool says: never looser in what the four rules rest on."""
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
        # One pool asks for the list, and all are told.
        on_request_discovery=settings.on_request_discovery and main,
    )


class Members:
    """Which lines of the whole list are a pool's: by zone, machine type and cell, or by its own fixed list; of those,
    the subset that this balancer connects to; those of an evacuated zone, as if they drained.
    """

    def __init__(
        self,
        pool: Pool,
        config: Config,
        fixed: Mapping[int, ServerEntry],
        stable_name: Callable[[int], str] = str,
    ) -> None:
        """`fixed`: the upstreams of all fixed lists by number; `own` of them are this pool's. `called`: by this
        process's number of it, what an upstream is called at every balancer."""
        zones = {name: n for n, name in enumerate(config.zones)}
        kinds = {name: n for n, name in enumerate(config.kinds)}
        self._zones = frozenset(zones.get(name, -1) for name in pool.zones or ())
        self._kinds = frozenset(kinds.get(name, -1) for name in pool.kinds or ())
        self._cells = frozenset(int(item) for item in pool.cells or ())
        self._evacuated = {zones.get(name, -1): 1.0 for name in pool.evacuated or ()}  # by zone, how far
        self._subset = pool.subset or 0
        self._me, self._copies = config.settings.me, config.settings.balancer_count
        self._fixed = fixed
        self._stable_name = stable_name
        self.own: frozenset[int] | None = None  # of the fixed ones; None: discovery's

    def __call__(self, entries: Iterable[ServerEntry]) -> list[ServerEntry]:
        if self.own is not None:
            found = [entry for entry in entries if entry.server in self.own]
            if self._zones:
                found = [entry for entry in found if entry.zone in self._zones]
        else:
            found = [entry for entry in entries if entry.server not in self._fixed and self._fits(entry)]
        if self._subset and self._subset < len(found):
            by = {str(entry.server): entry for entry in found}
            # Drained ones keep their places: their going moves no other before they are gone.
            found = [by[name] for name in ring(list(by), self._me, self._copies, self._subset)]
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
        """So much of an evacuated zone counts as draining; whether that is news."""
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
    """So much of a zone, rounded down, in the order in which it empties: the same at every balancer that knows the same
    upstreams, in whatever order it heard of them, since the order goes by what they are called."""
    if part >= 1.0:
        return list(servers)
    order = sorted(servers, key=lambda server: _evacuation_order(stable_name(server)))
    return order[: int(part * len(order) + 1e-9)]


def _evacuation_order(name: str) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8, person=b"evacuate").digest(), name


def resolve_pools(
    options: Operator, zones: Sequence[str]
) -> tuple[dict[str, Pool], dict[str, dict[str, str]]]:
    """All pools that are used, with what their parents say; and of those that spill, the names of their parts by
    zone. A part decides for its zone alone, so that a request is in one zone with all its attempts.
    """
    found: dict[str, Pool] = {}
    parts_: dict[str, dict[str, str]] = {}
    for name in referenced_pools(options):
        pool = inherited(name, options.pools)
        if not pool.spill:
            found[name] = pool
            continue
        if name == DEFAULT:  # it asks for the list
            found[name] = pool
        parts_[name] = {zone: f"{name}@{zone}" for zone in pool.zones or zones}
        for zone, part in parts_[name].items():
            found[part] = Pool(**(vars(pool) | {"zones": (zone,)}))
    return found, parts_
