"""Parses an answer of discovery, checked as a whole, into what the balancer is told of its upstreams. Pure logic.

The types `InstanceRow` and `FullList` are discovery's own form: it is handed to other processes and kept on disk as it
was received, with keys that nothing here knows.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

from larkweir_balancing.interface import ListKind, ServerEntry, ServerState

from larkweir.config.platform import ConfigError, parse_address
from larkweir.core.ports import Address, Listing
from larkweir.membership.names import Names

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
LEFT = "left"  # the lifecycle of an instance that is gone
NO_ADDRESS: Address = ("0.0.0.0", 0)  # of an instance that is gone


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer can't be used."""


class _InstanceId(TypedDict):
    instanceId: str
    lifecycle: str


class InstanceRow(_InstanceId, total=False):
    """One instance in discovery's form, checked."""

    hostPort: str  # missing or unusable only where it has left
    startedAtMs: float  # Unix time
    weight: float
    zone: str
    cell: int
    machineType: str


class FullList(TypedDict):
    """All instances in discovery's form, checked."""

    generation: int
    reset: bool  # True: the list is whole
    instances: list[InstanceRow]


class ParsedList(NamedTuple):
    """An answer of discovery: what the balancer is told, and the rows that it was parsed from."""

    listing: Listing
    rows: list[InstanceRow]


def _field(item: dict[str, Any], key: str, types: type | tuple[type, ...], default: Any = None) -> Any:
    value = item.get(key, default)
    if isinstance(value, bool) or not isinstance(value, types):
        raise DiscoveryError(f"{key}: {value!r:.100} makes no sense")
    return value


def parse_listing(data: object, names: Names) -> ParsedList:
    """Parse an answer's JSON; DiscoveryError if any of it can't be used, before any of it counts."""
    if not isinstance(data, dict):
        raise DiscoveryError("the answer is not an object")
    version = _field(data, "generation", int)
    is_full = data.get("reset")
    if not isinstance(is_full, bool):
        raise DiscoveryError(f"reset: {is_full!r:.100} is neither true nor false")
    rows = _field(data, "instances", list)
    checked = [_check_row(row) for row in rows]
    kind = ListKind.FULL if is_full else ListKind.DELTA
    entries = _entries_of(rows, checked, names)
    return ParsedList(Listing(kind, version, entries, tuple(address for address, _ in checked)), rows)


def _check_row(row: Any) -> tuple[Address, ServerState]:
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
        address = NO_ADDRESS
    _field(row, "zone", str, "")
    _field(row, "machineType", str, "")
    for key, default in (("cell", 0), ("weight", 1.0), ("startedAtMs", 0)):
        number = _field(row, key, (int, float), default)
        if not 0 <= number < 1e15:
            raise DiscoveryError(f"{key}: {number!r} makes no sense")
    _field(row, "instanceId", str)
    return address, state


def _entries_of(
    rows: list[InstanceRow], checked: list[tuple[Address, ServerState]], names: Names
) -> tuple[ServerEntry, ...]:
    """The entries of rows that are checked; the instances' numbers count from here on."""
    return tuple(
        ServerEntry(
            server=names.server(row["instanceId"]),
            state=state,
            started_ms=float(row.get("startedAtMs", 0)),
            weight=float(row.get("weight", 1.0)),
            zone=names.zone(row.get("zone", "")),
            cell=int(row.get("cell", 0)),
            kind=names.kind(row.get("machineType", "")),
        )
        for row, (_, state) in zip(rows, checked, strict=True)
    )
