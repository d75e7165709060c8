"""Sums of the prefill load that routers report, and the part that each router is sent."""

from __future__ import annotations

import pytest

from larkweir.controller.prefill_load import MAX_REPORTED_ENGINES, MIN_REPORTED_TOKENS, PrefillLoad


@pytest.fixture
def load() -> PrefillLoad:
    return PrefillLoad()


def test_reports_of_routers_are_summed_by_engine(load: PrefillLoad) -> None:
    load.replace({}, {"e": 100, "f": 10})
    load.replace({}, {"e": 20})
    assert load.tokens_by_engine == {"e": 120, "f": 10}


def test_a_report_supersedes_the_one_before(load: PrefillLoad) -> None:
    load.replace({}, {"e": 100, "f": 10})
    load.replace({"e": 100, "f": 10}, {"e": 30})
    assert load.tokens_by_engine == {"e": 30}


def test_a_router_is_sent_the_load_without_its_own(load: PrefillLoad) -> None:
    load.replace({}, {"e": MIN_REPORTED_TOKENS, "f": MIN_REPORTED_TOKENS})
    assert load.without_own({"e": 1_000, "f": MIN_REPORTED_TOKENS}) == {"e": MIN_REPORTED_TOKENS - 1_000}


def test_engines_with_little_load_are_left_out(load: PrefillLoad) -> None:
    load.replace({}, {"e": MIN_REPORTED_TOKENS - 1})
    assert load.without_own({}) == {}


def test_a_change_is_seen_by_the_next_answer(load: PrefillLoad) -> None:
    load.replace({}, {"e": MIN_REPORTED_TOKENS})
    assert load.without_own({}) == {"e": MIN_REPORTED_TOKENS}
    load.replace({}, {"e": 5})
    assert load.without_own({}) == {"e": MIN_REPORTED_TOKENS + 5}


def test_only_the_busiest_engines_are_reported(load: PrefillLoad) -> None:
    load.replace({}, {f"e{n}": MIN_REPORTED_TOKENS + n for n in range(MAX_REPORTED_ENGINES + 2)})
    reported = load.without_own({})
    assert len(reported) == MAX_REPORTED_ENGINES
    assert not {"e0", "e1"} & set(reported)
