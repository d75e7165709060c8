"""The platform file's settings on a day, what they promise clients (`Terms`), and how an operator changes them."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import Any

from standins.checkers import KEYED, SAFE, UNSAFE

GRACE_S = 0.5  # of a drain
MEMORY_S = 4.0  # for which upstreams remember a key, where the day does not say otherwise
DEADLINE_S = 1.5  # of a request
COLD_S, COLD_SHARE = 3.0, 0.3
ZONES = ("north", "south")

# The class of each effect, and one whose effect an operator changes in service.
NAMES = {SAFE: "consulta", KEYED: "publicar", UNSAFE: "traspaso"}
CHANGING = "ajuste"
EFFECTS = {"read_like": SAFE, "idempotency_key": KEYED, "non_idempotent": UNSAFE}

SHORT_DEADLINE_S = 0.7  # after "reload deadline"
SHORT_MEMORY_S = 0.6  # after "reload window"


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings in force promise, by the name of a class."""

    deadline_s: dict[str, float]
    effect: dict[str, str]
    memory_s: float


def category(name: str, effect: str, **more: Any) -> dict[str, Any]:
    most_ms = DEADLINE_S * 1000
    return {"Name": name, "Effect": effect, "AimMs": most_ms, "HardLimitMs": most_ms, "Worth": 4} | more


def settings(memory_s: float = MEMORY_S, discovery: str = "pushed", changing: bool = False) -> dict[str, Any]:
    """A new object each time. `changing`: with the class whose effect an operator changes."""
    classes = [
        category(NAMES[SAFE], "read_like"),
        category(NAMES[KEYED], "idempotency_key", Group="zone", MemorySpanMs=memory_s * 1000),
        category(NAMES[UNSAFE], "non_idempotent"),
    ]
    if changing:
        classes.append(category(CHANGING, "read_like"))
    return {
        "Categories": classes,
        "Tenants": [{"Name": "acme", "QuotaPerS": 10_000, "Fraction": 1.0}],
        "Zones": list(ZONES),
        "MachineTypes": ["box"],
        "Tiers": ["front"],
        "Discovery": discovery,
        "Guarantees": {
            "AnswerSlackMs": 50,
            "ColdShare": COLD_SHARE,
            "ColdMs": COLD_S * 1000,
            "DrainGraceMs": GRACE_S * 1000,
            "FallMultiple": 3,
            "FallMs": 1000,
        },
        "PolicyLimits": {
            "SendCap": 4,
            "MayCancel": True,
            "SecondCopies": True,
            "ConnIdleMs": 60000,
            "ConnectTimeoutMs": 2000,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000,
        },
        "Stats": {"How": "off", "Fields": []},
    }


def terms(facts: dict[str, Any]) -> Terms:
    classes = facts["Categories"]
    return Terms(
        {item["Name"]: item["HardLimitMs"] / 1000.0 for item in classes},
        {item["Name"]: EFFECTS[item["Effect"]] for item in classes},
        min(item["MemorySpanMs"] / 1000.0 for item in classes if "MemorySpanMs" in item),
    )


def with_deadlines(facts: dict[str, Any], deadline_s: float) -> dict[str, Any]:
    """The settings with another deadline for every class."""
    changed = copy.deepcopy(facts)
    for item in changed["Categories"]:
        item["AimMs"] = item["HardLimitMs"] = deadline_s * 1000
    return changed


def with_memory(facts: dict[str, Any], memory_s: float) -> dict[str, Any]:
    """The settings with another window for the repeats of a key."""
    changed = copy.deepcopy(facts)
    for item in changed["Categories"]:
        if "MemorySpanMs" in item:
            item["MemorySpanMs"] = memory_s * 1000
    return changed


def without_changing(facts: dict[str, Any]) -> dict[str, Any]:
    """The settings without the changing class."""
    changed = copy.deepcopy(facts)
    changed["Categories"] = [item for item in changed["Categories"] if item["Name"] != CHANGING]
    return changed


def with_changing(facts: dict[str, Any], effect: str) -> dict[str, Any]:
    """The settings with the changing class under an effect."""
    changed = without_changing(facts)
    deadline_ms = changed["Categories"][0]["HardLimitMs"]
    changed["Categories"].append(category(CHANGING, effect, AimMs=deadline_ms, HardLimitMs=deadline_ms))
    return changed
