"""How the benchmark commands evaluate reports of the bench and logs of routers.

They compare copies of the code, and find the causes of late requests.
"""

from __future__ import annotations

import json
import math
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest
from larkweir_balancing.decision_options import DecisionOptions
from larkweir_balancing.prefill_time import PrefillTime

from benchmarks.fleet_ablation import SWITCHES, switched_off
from benchmarks.fleet_losses import Cause, Request, cause_of, picture, read, table
from benchmarks.fleet_pairs import Play, Played, compare, difference, figures_of
from benchmarks.fleet_sites import make

REPORT: dict[str, Any] = {
    "G": 0.9,
    "parts": [["whole day", 0.75, 0.98]],
    "prices": [["GB between zones", 0.2, 0.01], ["machine-seconds", 10.0, 0.03]],
    "all": {"n": 200, "late": 10, "refused": 2, "failed": 0},
}


def test_a_difference_has_the_interval_of_its_pairs() -> None:
    found = difference([(1.0, 1.1), (2.0, 2.3), (3.0, 3.2)])
    assert found.mean == pytest.approx(0.2)
    assert found.half_width == pytest.approx(4.30 * 0.1 / math.sqrt(3))
    assert difference([(1.0, 2.0)]).half_width == math.inf


def test_a_report_gives_worth_parts_and_the_prices_that_have_little_noise() -> None:
    figures = figures_of(REPORT)
    assert figures["worth"] == 0.9
    assert figures["whole day"] == 0.98
    assert figures["zones"] == 0.01
    assert figures["late"] == 0.05
    assert "machine-seconds" not in figures


def test_only_plays_of_the_same_day_and_seed_are_compared() -> None:
    def played(worth: float) -> Played:
        return Played({"worth": worth}, [])

    results = {
        Play("a", "s", "d", 1): played(0.5),
        Play("a", "s", "d", 2): played(0.9),
        Play("b", "s", "d", 1): played(0.6),
        Play("b", "s", "d", 3): played(0.0),
    }
    assert "b (1 plays): worth +0.1000" in compare("a", ["a", "b"], results)


@pytest.mark.parametrize("field", fields(DecisionOptions), ids=lambda field: str(field.name))
def test_each_mechanism_can_be_switched_off_in_a_copy(field: Any) -> None:
    text = SWITCHES.read_text()
    changed = switched_off(text, field.name)
    assert changed.count("= False") == 1
    assert f"{field.name}: bool = False" in changed


def test_an_unknown_mechanism_is_an_error() -> None:
    with pytest.raises(ValueError, match="no switch"):
        switched_off(SWITCHES.read_text(), "sorcery")


def request_line(
    attempt: dict[str, Any], head: str = "h", first_ms: int | None = 900, placed_ms: int = 5
) -> dict[str, Any]:
    attempt_fields = {
        "upstream": "e1",
        "reason": "keeper",
        "chosen_ms": 5,
        "written_ms": 5,
        "status": 200,
        **attempt,
    }
    if first_ms is not None:
        attempt_fields["first_ms"] = first_ms
    return {
        "event": "request",
        "id": "1",
        "route": "r",
        "tokens": 1.0,
        "aim_ms": 400,
        "head": head,
        "placed_ms": placed_ms,
        "first_ms": first_ms,
        "total_ms": 1_000,
        "attempts": [attempt_fields],
    }


LINE = PrefillTime(ms_per_token=0.01, fixed_ms=50.0)


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (request_line({"tokens": 80_000}), Cause.LONG_PROMPT),
        (request_line({"tokens": 1_000}), Cause.QUEUE),
        (request_line({"chosen_ms": 700, "written_ms": 700}), Cause.OTHER_TRIES),
        (request_line({"chosen_ms": 5, "written_ms": 800}), Cause.CONNECTION),
        (request_line({"chosen_ms": 600, "written_ms": 600}, placed_ms=600), Cause.PLACEMENT),
        (request_line({}, head=""), Cause.UPSTREAM),
        (request_line({"status": 503}), Cause.NOT_SERVED),
        (request_line({"ending": "RESET"}), Cause.NOT_SERVED),
        (request_line({}, first_ms=None), Cause.NOT_SERVED),
    ],
)
def test_the_cause_of_a_late_request_is_its_longest_step(line: dict[str, Any], cause: Cause) -> None:
    one = Request(0.0, line)
    assert one.is_late
    assert cause_of(one, LINE) is cause


def test_repeated_prefills_of_a_prefix_are_found_and_drawn() -> None:
    def at(time_s: float, upstream: str) -> str:
        return f"  {time_s} front-1 " + json.dumps(
            request_line({"upstream": upstream, "tokens": 80_000}), separators=(",", ":")
        )

    requests = read(["built in 1 s", at(3.0, "e1"), at(5.0, "e2"), at(4.0, "e1"), "  6.0 front-1 nothing"])
    assert [one.head_again for one in requests] == [False, False, True]
    causes = {number: cause_of(one, LINE) for number, one in enumerate(requests)}
    assert causes == {0: Cause.LONG_PROMPT, 1: Cause.LONG_PROMPT, 2: Cause.HEAD_AGAIN}
    assert "3 requests, 3 late" in next(table(requests, causes))
    assert picture(requests, causes, [(1.0, 2.0, "srv_crash")]).count("<rect") > len(causes)


SITE = (
    '  { name = "m", servers = [{ zone = "a", count = 35 }], slots = 16, load_header = true, '
    "llm = { batch = 16, prefill_tokens_per_ms = 112.0 } },\n"
    '  { name = "p", servers = [{ zone = "a", count = 3 }], slots = 6, load_header = true },\n'
    "cross_zone_ms = 0.5\n"
)


def test_each_deployment_variant_changes_only_what_its_name_says(tmp_path: Path) -> None:
    kit = tmp_path / "kit"
    kit.mkdir()
    (kit / "one.toml").write_text(SITE)
    (kit / "wire.json").write_text("{}")
    made = {path.stem: path.read_text().split("\n") for path in make(kit / "one.toml", tmp_path / "made")}
    assert (tmp_path / "made" / "wire.json").exists()
    before = SITE.split("\n")
    slow = made["one-slow-engines"]
    assert "prefill_tokens_per_ms = 44.8" in slow[0]
    assert "load_header = false" in slow[0]
    assert slow[1:] == before[1:]
    few = made["one-few-wide-engines"]
    assert "count = 12 }], slots = 64" in few[0]
    assert "batch = 64" in few[0]
    assert few[1:] == before[1:]
    quick = made["one-quick-narrow-engines"]
    assert "slots = 8" in quick[0]
    assert "prefill_tokens_per_ms = 336.0" in quick[0]
    assert made["one-far-zones"] == [*before[:2], "cross_zone_ms = 3.0", ""]
