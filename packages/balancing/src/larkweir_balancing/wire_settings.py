"""Decodes settings from the JSON text of the simulator's `hello` record. Unknown keys are ignored."""

from __future__ import annotations

import json
import math
from typing import Any

from larkweir_balancing.errors import SettingsError
from larkweir_balancing.settings import Effect, Group, ReportMode, RequestClass, Settings, Tenant

_EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_MODES = {"inline": ReportMode.INLINE, "on_probe": ReportMode.ON_PROBE, "off": ReportMode.OFF}
_REPORT_FIELDS = {"busy_reqs": "running_and_waiting", "pending": "waiting"}  # others are ignored
_MISSING = object()


class _Reader:
    """Reads typed values from one JSON object; errors name the key and the value."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: {data!r} is not an object")
        self.data, self.path = data, path

    def _get(self, key: str, default: Any) -> Any:
        value = self.data.get(key)
        if value is None:
            if default is _MISSING:
                raise SettingsError(f"{self.path}{key}: missing")
            return default
        return value

    def num(self, key: str, default: Any = _MISSING, low: float = 0.0) -> float:
        value = self._get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < math.inf:
            raise SettingsError(f"{self.path}{key}: {value!r} is not a finite number of at least {low:g}")
        return float(value)

    def integer(self, key: str, default: Any = _MISSING, low: int = 0) -> int:
        value = self.num(key, default, low)
        if value != int(value):
            raise SettingsError(f"{self.path}{key}: {value!r} is not a whole number")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self.path}{key}: {value!r} is neither true nor false")
        return value

    def choice(self, key: str, default: Any, choices: dict[str, Any]) -> Any:
        value = self._get(key, default)
        if not isinstance(value, str) or value not in choices:
            raise SettingsError(f"{self.path}{key}: {value!r} is not one of {', '.join(choices)}")
        return choices[value]

    def items(self, key: str, default: Any = _MISSING) -> list[Any]:
        value = self._get(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"{self.path}{key}: {value!r} is not a list")
        return value

    def sub(self, key: str) -> _Reader:
        return _Reader(self._get(key, {}), f"{self.path}{key}.")


def decode_settings(settings_json: bytes) -> Settings:
    """Decode the settings text of `hello`; raises `SettingsError`, which names the key and the value."""
    try:
        top = _Reader(json.loads(settings_json), "")
    except (ValueError, RecursionError) as problem:
        raise SettingsError(f"settings: not JSON: {problem}") from problem
    limits, rules = top.sub("PolicyLimits"), top.sub("Guarantees")
    prices, stats = top.sub("Deductions"), top.sub("Stats")
    return Settings(
        classes=tuple(
            _request_class(_Reader(item, f"Categories[{n}]."))
            for n, item in enumerate(top.items("Categories"))
        ),
        tenants=tuple(
            _tenant(_Reader(item, f"Tenants[{n}].")) for n, item in enumerate(top.items("Tenants", []))
        ),
        zones=max(1, len(top.items("Zones", []))),
        my_zone=top.integer("MyZone", 0),
        me=top.integer("Me", 0),
        balancer_count=top.integer("PeersTotal", 1, low=1),
        tier=top.integer("Tier", 0),
        tiers=max(1, len(top.items("Tiers", []))),
        tick_ms=top.num("TickMs", 1.0, low=0.001),
        on_request_discovery=top.choice("Discovery", "pushed", {"pushed": False, "on_request": True}),
        list_request_interval_ms=rules.num("AskWithinMs", 10_000.0),
        answer_slack_ms=rules.num("AnswerSlackMs", 0.0),
        cold_share=rules.num("ColdShare", 0.1),
        cold_ms=rules.num("ColdMs", 30_000.0),
        fall_multiple=rules.num("FallMultiple", 2.0, low=0.001),
        fall_ms=rules.num("FallMs", 2_000.0, low=0.001),
        max_attempts=limits.integer("SendCap", 1, low=1),
        may_cancel=limits.flag("MayCancel", False),
        may_probe=limits.flag("MayProbe", False),
        allows_hedging=limits.flag("SecondCopies", False),
        conn_idle_ms=limits.num("ConnIdleMs", 60_000.0),
        connect_timeout_ms=limits.num("ConnectTimeoutMs", 250.0),
        retry_advice=limits.flag("RetryAfter", False),
        max_retry_after_ms=limits.num("MaxRetryAfterMs", 0.0),
        marks_retry=top.sub("Clients").flag("MarksRetry", False),
        passes_deadline=top.sub("FamilyInfo").flag("PassesDeadline", False),
        report_mode=stats.choice("How", "off", _MODES),
        report_fields=tuple(_REPORT_FIELDS.get(str(item), "") for item in stats.items("Fields", [])),
        over_share_worth=top.num("OverShareWorth", 1.0),
        price_cross_zone=prices.num("CrossZone", 0.0),
        price_probe=prices.num("Probe", 0.0),
        price_waste=prices.num("Waste", 0.0),
        price_late_fail=prices.num("LateFail", 0.0),
    )


def _request_class(at: _Reader) -> RequestClass:
    effect = at.choice("Effect", _MISSING, _EFFECTS)
    keyed = effect is Effect.KEYED
    return RequestClass(
        aim_ms=at.num("AimMs", low=0.001),
        deadline_ms=at.num("HardLimitMs", low=0.001),
        effect=effect,
        worth=at.num("Worth", 1.0),
        late_worth=at.num("LateWorth", 0.0),
        group=at.choice("Group", _MISSING, _GROUPS) if keyed else Group.ALL,
        memory_ms=at.num("MemorySpanMs") if keyed else 0.0,
        streaming=at.flag("Streaming", False),
        aim_stretch=at.num("AimStretch", 0.0),
        name=str(at.data.get("Name", "")),
    )


def _tenant(at: _Reader) -> Tenant:
    return Tenant(at.num("QuotaPerS"), at.num("Fraction", 0.0), str(at.data.get("Name", "")))
