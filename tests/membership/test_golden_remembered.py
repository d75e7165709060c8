"""A list that the release before kept is restored the same, and the list that is kept of it is written the same."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from larkweir.membership.listing import parse_listing
from larkweir.membership.names import Names
from larkweir.membership.remembered.entries import Place, RestoredEntries
from larkweir.membership.remembered.evidence import Churn, Evidence, EvidenceKind, Source, confidence
from larkweir.membership.remembered.identity import UpstreamIdentity, parse_identity
from larkweir.membership.upstream_list import UpstreamList

GOLDEN = Path(__file__).parent / "golden"
TEXT = (GOLDEN / "list.json").read_text(encoding="utf-8")
LIST = json.loads(TEXT)
DAY_MS = 86_400_000.0


def test_a_list_is_held_and_written_as_before() -> None:
    held = UpstreamList()
    held.generation = LIST["generation"]
    held.replace([*LIST["instances"], {"instanceId": "s-gone", "lifecycle": "left"}])
    assert json.dumps(held.snapshot(), separators=(",", ":")) == TEXT.rstrip("\n")


def test_a_list_is_read_as_before() -> None:
    listing, rows = parse_listing(LIST, Names(("a", "b"), ("small",)))
    assert rows == LIST["instances"]
    found = [
        (entry.server, entry.state.name, entry.started_ms, entry.weight, entry.zone, entry.cell, entry.kind)
        for entry in listing.entries
    ]
    golden = json.loads((GOLDEN / "parsed.json").read_text(encoding="utf-8"))
    assert [list(row) for row in found] == golden["entries"]
    assert [list(address) for address in listing.addresses] == golden["addresses"]


def test_evidence_and_where_a_list_is_from_keep_their_numbers() -> None:
    assert {kind.name: int(kind) for kind in EvidenceKind} == {
        "LISTED": 0,
        "PROBED": 1,
        "ANSWERED": 2,
        "SHOWN": 3,
    }
    assert [int(Source.STORED), int(Source.CONFIGURED)] == [0, 1]


def test_what_is_used_of_a_restored_list_and_how_far_it_is_trusted_is_as_before() -> None:
    rows = {
        f"s-{number}": (
            Place("a", number),
            Evidence(1_000.0 * number, 900.0 * number, EvidenceKind(number % 4)),
        )
        for number in range(1, 24)
    }
    entries = RestoredEntries(1, 3, True, True, Churn(2.5, DAY_MS))
    found = [
        [change.name, *change.place, None if change.trust is None else list(change.trust)]
        for change in entries.load(rows, DAY_MS)
    ]
    assert json.loads(json.dumps(found)) == json.loads((GOLDEN / "restored.json").read_text(encoding="utf-8"))
    assert confidence(rows["s-7"][1], Churn(), Source.STORED, False, DAY_MS) == pytest.approx(
        float((GOLDEN / "confidence.txt").read_text(encoding="ascii")), rel=1e-12
    )


@pytest.mark.parametrize(
    ("text", "identity"),
    [
        (b's-5be2a07c;zone="a";cell=3', UpstreamIdentity("s-5be2a07c", "a", 3)),
        (b'"s \\"1\\""', UpstreamIdentity('s "1"')),
        (b"s-1;cell=x;zone=b", UpstreamIdentity("s-1", "b")),
        (b"7", None),
    ],
)
def test_what_an_upstream_says_of_itself_is_read_as_before(
    text: bytes, identity: UpstreamIdentity | None
) -> None:
    assert parse_identity(text) == identity
