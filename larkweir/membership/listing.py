"""Rules: one answer of discovery, checked as a whole, into what the balancer is told of its upstreams."""

from __future__ import annotations

from typing import Any

from larkweir.config.platform import ConfigError, parse_address
from larkweir.core.ports import Address, Listing
from mulleinhitch.interface import ListKind, ServerEntry, ServerState

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer is none."""


class Names:
    """Numbers for the ids and words that discovery uses. An id keeps its number for good."""

    MOST = 100_000  # ids; past that the oldest are forgotten, and their numbers never used again

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._ids: dict[str, int] = {}
        self._next = 1
        self.reverse: dict[int, str] | None = None  # ids by number, where somebody asks for them
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {name: n for n, name in enumerate(kinds)}

    def server(self, instance_id: str) -> int:
        number = self._ids.pop(instance_id, None)
        if number is None:
            number = self._next
            self._next += 1
            if len(self._ids) >= self.MOST:
                oldest = self._ids.pop(next(iter(self._ids)))
                if self.reverse is not None:
                    self.reverse.pop(oldest, None)
            if self.reverse is not None:
                self.reverse[number] = instance_id
        self._ids[instance_id] = number  # at the end: heard of last
        return number

    def zone(self, name: str) -> int:
        return self._zones.get(name, max(1, len(self._zones)))

    def kind(self, name: str) -> int:
        return self._kinds.get(name, len(self._kinds))


def _field(item: dict[str, Any], key: str, types: type | tuple[type, ...], default: Any = None) -> Any:
    value = item.get(key, default)
    if isinstance(value, bool) or not isinstance(value, types):
        raise DiscoveryError(f"{key}: {value!r:.100} makes no sense")
    return value


def parse_listing(data: Any, names: Names) -> Listing:
    """Check an answer as a whole before any of it counts."""
    if not isinstance(data, dict):
        raise DiscoveryError("the answer is not an object")
    version = _field(data, "generation", int)
    whole = data.get("reset")
    if not isinstance(whole, bool):
        raise DiscoveryError(f"reset: {whole!r:.100} is neither true nor false")
    rows = _field(data, "instances", list)
    checked: list[tuple[str, dict[str, Any], Address, ServerState]] = []
    for row in rows:
        if not isinstance(row, dict):
            raise DiscoveryError(f"instances: {row!r:.100} is not an object")
        state = STATES.get(_field(row, "lifecycle", str))
        if state is None:
            raise DiscoveryError(f"lifecycle: {row['lifecycle']!r:.100} is unknown")
        try:
            address = parse_address(row.get("hostPort"), "hostPort")
        except ConfigError as problem:
            if state is not ServerState.GONE:
                raise DiscoveryError(str(problem)) from None
            address = ("0.0.0.0", 0)
        _field(row, "zone", str, "")
        _field(row, "machineType", str, "")
        for key, default in (("cell", 0), ("weight", 1.0), ("startedAtMs", 0)):
            number = _field(row, key, (int, float), default)
            if not 0 <= number < 1e15:
                raise DiscoveryError(f"{key}: {number!r} makes no sense")
        checked.append((_field(row, "instanceId", str), row, address, state))
    entries = tuple(
        ServerEntry(
            server=names.server(instance_id),
            state=state,
            started_ms=float(row.get("startedAtMs", 0)),
            weight=float(row.get("weight", 1.0)),
            zone=names.zone(row.get("zone", "")),
            cell=int(row.get("cell", 0)),
            kind=names.kind(row.get("machineType", "")),
        )
        for instance_id, row, _, state in checked
    )
    kind = ListKind.FULL if whole else ListKind.DELTA
    return Listing(kind, version, entries, tuple(address for _, _, address, _ in checked))
