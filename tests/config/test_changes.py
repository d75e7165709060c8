"""What differs between two platform files, and that what may change live is taken and nothing else."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_balancing.interface import fixed_difference

from larkweir.config.changes import differences, keep_fixed, rule_of
from larkweir.config.keys import Change
from larkweir.config.platform import decode_object
from tests.fakes import SETTINGS, config_data

BASE = config_data([], 9)


def changed(path: str, value: Any) -> dict[str, Any]:
    data = copy.deepcopy(BASE)
    at: Any = data
    *steps, last = path.split(".")
    for step in steps:
        at = at[int(step)] if step.isdigit() else at.setdefault(step, {})
    at[last] = value
    return data


TABLE = [
    ("discovery", "127.0.0.1:77", Change.LIVE),
    ("listen", "127.0.0.1:77", Change.HANDOVER),
    ("name", "other", Change.HANDOVER),
    ("seed", "77", Change.START),
    ("limits.memory_mb", 64, Change.LIVE),
    ("limits.cores", 2, Change.START),
    ("settings.Zones", ["south"], Change.HANDOVER),
    ("settings.PolicyLimits.SendCap", 2, Change.LIVE),
    ("settings.PolicyLimits.MayProbe", True, Change.HANDOVER),
    ("settings.Guarantees.DrainGraceMs", 100, Change.LIVE),
    ("settings.Categories.0.AimMs", 77, Change.LIVE),
    ("settings.Categories.0.Name", "other", Change.LIVE),
    ("settings.Categories.2.Effect", "read_like", Change.LIVE),
    ("settings.Tenants", [], Change.LIVE),
    ("something.new", 1, Change.START),
]


@pytest.mark.parametrize(("path", "value", "change"), TABLE)
def test_each_key_comes_to_count_as_the_table_says(path: str, value: Any, change: Change) -> None:
    new = changed(path, value)
    (found,) = differences(BASE, new)
    assert found.change is change and found.why
    kept = keep_fixed(BASE, new)
    if path == "something.new":
        assert kept.get("something") in (None, {})
    else:
        assert kept == (new if change is Change.LIVE else BASE)


def test_the_longest_rule_counts() -> None:
    assert rule_of("settings.PolicyLimits.MayProbe")[0] is Change.HANDOVER
    assert rule_of("settings.PolicyLimits.MayCancel")[0] is Change.LIVE
    assert rule_of("settings.New")[0] is Change.HANDOVER


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([row[:2] for row in TABLE]), max_size=6))
def test_what_is_kept_can_always_change_in_service(picked: list[tuple[str, Any]]) -> None:
    """Guards the decisions: whatever is changed together, the generation that takes over fits the present."""
    new = copy.deepcopy(BASE)
    for path, value in picked:
        at: Any = new
        *steps, last = path.split(".")
        for step in steps:
            at = at[int(step)] if step.isdigit() else at.setdefault(step, {})
        at[last] = value
    kept = keep_fixed(BASE, new)
    one, other = decode_object(BASE, {}), decode_object(kept, {})
    assert not fixed_difference(one.settings, other.settings)
    assert (one.zones, one.kinds, one.listen, one.name) == (
        other.zones,
        other.kinds,
        other.listen,
        other.name,
    )
    assert not [item for item in differences(kept, keep_fixed(kept, new)) if item.key]
    assert SETTINGS["Zones"] == kept["settings"]["Zones"]
