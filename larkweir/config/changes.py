"""What differs between two platform files, and how each change comes to count."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any, NamedTuple

from larkweir.config.keys import Change


class Difference(NamedTuple):
    """One key that differs; a value of None stands for one that is absent."""

    key: str
    old: Any
    new: Any
    change: Change
    why: str


# The longest of these that a key begins with says how it counts.
KEYS: dict[str, tuple[Change, str]] = {
    "": (Change.START, "not known here"),
    "name": (Change.HANDOVER, "the log and the service manager know this life by it"),
    "listen": (Change.HANDOVER, "the sockets are opened at a start"),
    "discovery": (Change.LIVE, "followed at once; what is held serves until the new list has come"),
    "seed": (Change.START, "new with each start"),
    "control": (Change.START, "the address is opened at a start"),
    "limits.cores": (Change.START, "the platform holds it"),
    "limits.memory_mb": (Change.LIVE, "the room for bytes is resized; what is held stays"),
    "limits.sockets": (Change.LIVE, "the budgets of callers and upstreams are resized; open ones stay"),
    "peer_listen": (Change.HANDOVER, "used with [peers] alone; the socket is opened at a start"),
    "peers": (Change.LIVE, "used with [peers] alone; who stays keeps all that is known of it"),
    "known": (Change.START, "counts until discovery has answered"),
    "settings": (Change.HANDOVER, "the decisions are built on it"),
    "settings.Categories": (Change.LIVE, "classes come and go; requests that are here keep theirs as it was"),
    "settings.Tenants": (Change.LIVE, "what was learned of a tenant stays with its name"),
    "settings.Guarantees": (Change.LIVE, "drains told before keep their grace or a shorter one"),
    "settings.PolicyLimits": (Change.LIVE, "requests that are here keep their most attempts"),
    "settings.PolicyLimits.Peers": (Change.HANDOVER, "used with [peers] alone"),
    "settings.PolicyLimits.MayProbe": (Change.HANDOVER, "the decisions are built on it"),
    "settings.Deductions": (Change.LIVE, "counts from the next decision"),
    "settings.OverShareWorth": (Change.LIVE, "counts from the next decision"),
    "settings.PeersTotal": (Change.LIVE, "counts from the next decision"),
    "settings.Clients": (Change.LIVE, "counts from the next request"),
    "settings.Goal": (Change.LIVE, "not used"),
    "settings.FamilyInfo": (Change.LIVE, "counts from the next request"),
}
# What a file may do without, though an earlier one had it: keys that the wire page calls optional, or that count only
# beside others. Every other key of the settings stays, and so do these at the top.
OPTIONAL = frozenset(("AimStretch", "PassesDeadline", "WarmKeys", "Fleet", "Group", "MemorySpanMs"))
NEEDED = ("name", "listen", "discovery", "settings")


def short_of(old: dict[str, Any], new: dict[str, Any]) -> str:
    """The first key that a new platform file lacks, and that the old one shows to be wanted; empty if none. Of things
    that come in lists (classes, tenants), a key is wanted that all of the old ones have.
    """
    for key in NEEDED:
        if key in old and key not in new:
            return key
    return _short("settings", old.get("settings"), new.get("settings"))


def _short(key: str, old: Any, new: Any) -> str:
    if isinstance(old, dict) and isinstance(new, dict):
        for name, value in old.items():
            if name in OPTIONAL:
                continue
            if name not in new:
                return f"{key}.{name}"
            found = _short(f"{key}.{name}", value, new[name])
            if found:
                return found
    elif isinstance(old, list) and isinstance(new, list) and old and all(isinstance(i, dict) for i in old):
        wanted = {name: None for name in old[0] if all(name in item for item in old)}
        for n, item in enumerate(new):
            found = _short(f"{key}[{n}]", wanted, item)
            if found:
                return found
    return ""


def rule_of(key: str) -> tuple[Change, str]:
    """How a change of this key, `a.b.c` with list places left out, comes to count, and why."""
    parts = key.split(".")
    for n in range(len(parts), 0, -1):
        found = KEYS.get(".".join(parts[:n]))
        if found is not None:
            return found
    return KEYS[""]


def _walk(old: Any, new: Any, key: str) -> Iterator[tuple[str, Any, Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            yield from _walk(old.get(name), new.get(name), f"{key}.{name}" if key else name)
    elif old != new:
        yield key, old, new


def differences(old: dict[str, Any], new: dict[str, Any]) -> list[Difference]:
    """Every key that differs between two platform files, in the old one's order."""
    found = []
    for key, before, after in _walk(old, new, ""):
        change, why = rule_of(key)
        found.append(Difference(key, before, after, change, why))
    return found


def keep_fixed(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """The new file as far as it can change live: every other key has its old value."""
    kept = copy.deepcopy(new)
    for item in differences(old, new):
        if item.change is Change.LIVE:
            continue
        at = kept
        *steps, last = item.key.split(".")
        for step in steps:
            at = at[step]
        if item.old is None:
            at.pop(last, None)
        else:
            at[last] = copy.deepcopy(item.old)
    return kept
