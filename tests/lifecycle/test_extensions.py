"""What a node is put together from."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace

import pytest

from larkweir.config.fleet_tables import Captures
from larkweir.config.options import Budget, Door, Fastcgi, Log, Operator, Remembered, Store, Storms
from larkweir.lifecycle.extensions import EXTENSIONS

ON = {
    "larkweir.storms.part": replace(Operator(), storms=Storms(on=True)),
    "larkweir.logs.part": replace(Operator(), log=Log(format="json")),
    "larkweir.protocols.fastcgi.part": replace(Operator(), fastcgi=Fastcgi(upstreams="tier")),
    "larkweir.membership.remembered.part": replace(Operator(), remembered=Remembered(known=True)),
    "larkweir.door.part": replace(Operator(), door=Door(on=True)),
    "larkweir.budget.part": replace(Operator(), budget=Budget(on=True)),
    "larkweir.coordination.captures.part": replace(Operator(), captures=Captures(on=True)),
}


def test_nothing_is_on_by_default() -> None:
    assert [name for name, on in EXTENSIONS if on(Operator())] == []


@pytest.mark.parametrize("name", ON)
def test_a_part_is_on_by_its_own_option_alone(name: str) -> None:
    assert [part for part, on in EXTENSIONS if on(ON[name])] == [name]


def test_the_store_comes_after_the_remembered_list_that_it_writes() -> None:
    on = [part for part, on in EXTENSIONS if on(replace(Operator(), store=Store(on=True)))]
    assert on == ["larkweir.membership.remembered.part", "larkweir.store.part"]


def test_no_part_is_imported_before_a_node_is_made() -> None:
    code = "import sys, larkweir.lifecycle.daemon; print([name for name in sys.modules if name.endswith('.part')])"
    told = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert told.stdout.strip() == "[]"
