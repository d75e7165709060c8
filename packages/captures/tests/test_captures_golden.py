"""What the release before wrote: items, the texts that travel with requests, and lines are the same now."""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import pytest
from larkweir_captures.messages import (
    Message,
    Report,
    RetainRequest,
    RetainResponse,
    ThresholdTable,
    TraceRequest,
    decode,
    encode,
)
from larkweir_captures.node import Node
from larkweir_captures.options import Options
from larkweir_captures.propagation import parse_answer_field, parse_request_field, to_hex
from larkweir_captures.sampling import CAPTURE_NONE, key_of, randomness, threshold_of
from larkweir_captures.writer import Writer

GOLDEN = Path(__file__).parent / "golden"
ITEMS: dict[str, Message] = {
    "report": Report(7, 21, 40_000, True, {0: 12, 2**32 - 1: 3_000}, {17: 999}),
    "table": ThresholdTable(
        7, 21, "10.0.0.1:7946", 1000, threshold_of(0.05), {17: 0, 2**32 - 1: CAPTURE_NONE}
    ),
    "keep": RetainRequest([TraceRequest(2**56 - 1, "trace-1", 3), TraceRequest(0, "a\u00e9", 1)]),
    "kept": RetainResponse({2**56 - 1: ["10.0.0.1:7946", "edge-2"], 0: []}),
}
DOWN = "th:8;rv:00000000000000;k:00000001;n:7.21;by:10.0.0.9:1"


def rows(name: str) -> dict[str, bytes]:
    """Lines of a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


FOUND = {name: rows(f"{name}.hex") for name in ("items", "sent")}


class Transport:
    """What is sent, kept."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def post(self, to: str, item: bytes) -> bool:
        self.sent.append((to, item))
        return True

    def alive(self) -> tuple[str, ...]:
        return ("10.0.0.2:7946", "10.0.0.3:7946")


def texts() -> list[str]:
    """What goes on with requests and back with answers, from a table with thresholds."""
    node = Node("10.0.0.1:7946", Options(default_rate=0.5), Transport())
    found = []
    node.follow(ITEMS["table"], 0.0)  # type: ignore[arg-type]
    for number in range(4):
        verdict = node.first_hop(b"id-%d" % number, "r", "bulk", f"t{number}", 1.0)
        found += [node.request_field(verdict), node.answer_field(verdict)]
        node.on_answer(verdict, "th:c;by:10.0.0.7:1,10.0.0.8:1")
        found += [node.request_field(verdict), node.answer_field(verdict)]
    later = node.later_hop(DOWN, 2.0, b"id-9")
    assert later is not None
    return [*found, node.request_field(later), node.answer_field(later)]


def lines() -> tuple[list[bytes], list[tuple[str, bytes]]]:
    """Lines of drawn, failed, slow and repeated requests, and the items that a node sends of them."""
    transport = Transport()
    node = Node("10.0.0.1:7946", Options(default_rate=1.0), transport)
    found = []
    for number, how in enumerate(({}, {"failed": True}, {"slow": True}, {"again": True}, {"lost": True})):
        verdict = node.first_hop(b"id-%d" % number, "r", "bulk", "t", 10.0 * number)
        node.record(verdict, b'{"status":%d}' % (200 + number), 10.0 * number + 1.25, **how)
        found += node.tick(10.0 * number + 2.0)
    rare = ThresholdTable(7, 22, "10.0.0.2:7946", 1000, CAPTURE_NONE, {})
    node.follow(rare, 1_000.0)
    for number, how in enumerate(({}, {"failed": True}, {"slow": True}, {"again": True})):
        verdict = node.first_hop(b"id-%d" % (10 + number), "r", "bulk", "t", 1_000.0)
        node.on_answer(verdict, "th:0;by:10.0.0.3:7946")
        node.record(verdict, b'{"status":%d}' % (300 + number), 1_001.25, **how)
    node.on_message(
        "10.0.0.2:7946", encode(RetainRequest([TraceRequest(randomness(b"id-10"), "id-10", 2)])), 1_002.0
    )
    for now in (1_100.0, 1_400.0, 2_500.0, 4_000.0):
        found += node.tick(now)
    return found, transport.sent


@pytest.mark.parametrize("name", ITEMS)
def test_an_item_is_read_and_written_as_before(name: str) -> None:
    assert encode(ITEMS[name]) == FOUND["items"][name]
    assert decode(FOUND["items"][name]) == ITEMS[name]


def test_every_kind_of_item_is_here() -> None:
    assert {type(item) for item in ITEMS.values()} == set(get_args(Message))


def test_texts_that_travel_with_requests_are_as_before() -> None:
    golden = (GOLDEN / "texts.txt").read_text(encoding="ascii").splitlines()
    assert texts() == golden
    for text in golden:
        assert (parse_request_field(text) if "rv:" in text else parse_answer_field(text)) is not None


def test_hashes_and_thresholds_are_as_before() -> None:
    assert randomness(b"id-1").to_bytes(7, "big") == FOUND["items"]["randomness"]
    assert key_of("r", "bulk", "t\u00e9").to_bytes(4, "big") == FOUND["items"]["key"]
    assert to_hex(threshold_of(0.05)).encode() == FOUND["items"]["threshold"]


def test_lines_and_what_is_sent_of_them_are_as_before() -> None:
    found, sent = lines()
    assert b"".join(found) == (GOLDEN / "lines.jsonl").read_bytes()
    assert [(f"{number}:{to}", item) for number, (to, item) in enumerate(sent)] == list(FOUND["sent"].items())


def test_files_are_written_as_before(tmp_path: Path) -> None:
    golden = (GOLDEN / "lines.jsonl").read_bytes().splitlines(keepends=True)
    writer = Writer(str(tmp_path / "captures.jsonl"), file_bytes=len(golden[0]) + 10, files=3)
    writer.put(golden[:4])
    writer.close(30.0)
    kept = [(tmp_path / f"captures.jsonl{end}").read_bytes() for end in (".2", ".1", "")]
    assert kept == golden[1:4]
