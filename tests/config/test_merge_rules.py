"""Each key of a route or a pool says what counts where two edits of it had not seen each other."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest

from larkweir.config.keys import Merge
from larkweir.config.options import NAMED

MERGED = ("pool", "route")
LISTS = (Merge.SET, Merge.LIFTED, Merge.SPLIT)


@pytest.mark.parametrize("table", MERGED)
def test_every_key_has_a_rule_that_fits_it(table: str) -> None:
    kind: type[Any] = NAMED[table][0]
    for item in fields(kind):
        rule = item.metadata["merge"]
        assert isinstance(rule, Merge), f"{table}.{item.name} has no merge="
        if rule in LISTS:
            assert "tuple[str, ...]" in str(item.type), item.name
        if rule in (Merge.SMALLER, Merge.LONGER, Merge.STRICTER, Merge.LARGER_OR_ALL):
            assert "int" in str(item.type) or "float" in str(item.type), item.name


def test_the_package_of_edits_knows_these_rules_and_no_others() -> None:
    merge = pytest.importorskip("larkweir_edits.merge")  # installed with the workspace
    assert {rule.value for rule in Merge} == set(merge.RULES)
