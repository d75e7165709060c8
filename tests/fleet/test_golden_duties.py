"""What the release before wrote for duties: reports between copies and states in the register are the same now."""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import msgspec
import pytest
from larkweir_captures import messages as wire

from larkweir.coordination.duties import probers, ramps, thresholds, verdicts
from larkweir.coordination.duties.drill import Drill
from larkweir.coordination.duties.messages import (
    CaptureReport,
    Evidence,
    EvidenceReport,
    RampReport,
    RampRow,
    Report,
    Sighting,
    SightingReport,
    decode_report,
    encode_report,
)
from larkweir.coordination.duties.replicated import encode_state

GOLDEN = Path(__file__).parent / "golden"
LIFE = 1_700_000_000_000
REPORTS: dict[str, Report] = {
    "evidence": EvidenceReport(
        LIFE,
        7,
        21,
        (Evidence("r:next:10%", 0.01, (-1500, 0, 2**31), (100, 2, 1, 10, 1, 0)), Evidence("s", 0.05, (), ())),
    ),
    "wishes": RampReport(LIFE, (RampRow("r:ramp", 60_000.0, 4), RampRow("s:ramp", 0.5, 0))),
    "sightings": SightingReport(
        LIFE, 3, (Sighting(b"\x00" * 8, True, 1, 250), Sighting(b"\xff" * 8, False, 3, 0))
    ),
    "captures": CaptureReport(LIFE, wire.encode(wire.Report(7, 21, 40_000, False, {0: 1}, {}))),
}
STATES: dict[str, tuple[object, msgspec.Struct]] = {
    "verdicts": (
        verdicts.decode_state,
        verdicts.State(
            5,
            (verdicts.CanaryTotal("r:next:10%", 0.01, (-1500, 0), (100, 2, 1, 10, 1, 0)),),
            (("s:next", "it is slower"),),
        ),
    ),
    "verdicts_empty": (verdicts.decode_state, verdicts.State()),
    "probers": (
        probers.decode_state,
        probers.State(
            9,
            (
                probers.ServerRow(b"\x01" * 8, 2, 1200, (b"tag1", b"tag2")),
                probers.ServerRow(b"k" * 8, 0, 0, ()),
            ),
        ),
    ),
    "probers_empty": (probers.decode_state, probers.State()),
    "ramps": (ramps.decode_state, ramps.State(2, (ramps.RampStep("r:ramp", 60_000.0, 4),))),
    "ramps_empty": (ramps.decode_state, ramps.State()),
}
TABLE = wire.ThresholdTable(7, 21, "owner", 1000, 2**55, {17: 0})


def rows(name: str) -> dict[str, bytes]:
    """Lines of a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


FOUND = rows("duties.hex")


@pytest.mark.parametrize("name", REPORTS)
def test_a_report_is_read_and_written_as_before(name: str) -> None:
    assert encode_report(REPORTS[name]) == FOUND[name]
    assert decode_report(FOUND[name]) == REPORTS[name]


def test_every_kind_of_report_is_here() -> None:
    assert {type(report) for report in REPORTS.values()} == set(get_args(Report))


@pytest.mark.parametrize("name", STATES)
def test_a_state_of_the_register_is_read_and_written_as_before(name: str) -> None:
    read, state = STATES[name]
    assert encode_state(state) == FOUND[f"state_{name}"]
    assert read(FOUND[f"state_{name}"]) == state  # type: ignore[operator]


def test_the_table_of_thresholds_and_the_drills_count_are_as_before() -> None:
    assert wire.encode(TABLE) == FOUND["state_captures"]
    assert thresholds.read(FOUND["state_captures"]) == TABLE
    assert Drill().step(FOUND["state_drill"], 1e9) == FOUND["state_drill_next"]


def test_names_that_operators_and_registers_know_are_as_before() -> None:
    keys = [probers.key_of("10.0.0.1:80"), probers.tag_of("10.0.0.1:7946")]
    assert keys == [FOUND["prober_key"], FOUND["prober_tag"]]
    assert Drill.name == "drill" and thresholds.CaptureThresholds.name == "captures"
    names = {item.name for item in (verdicts.Verdicts, probers.Probers, ramps.Ramps)}
    assert names == {"verdicts", "probers", "ramps"}
