"""Valid and invalid configurations."""

from __future__ import annotations

import pytest

from larkweir.cluster.configuration.schema import first_problem
from tests.cluster.configurations import INVALID, VALID


def test_a_valid_configuration_has_no_fault() -> None:
    assert first_problem(VALID) is None


@pytest.mark.parametrize("name", INVALID)
def test_the_fault_of_an_invalid_one_is_named(name: str) -> None:
    problem = first_problem(INVALID[name])
    assert problem
    assert "\n" not in problem
