"""The log as lines of JSON: each a line that can be read, what is told of requests, and that it bounds itself."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    AnswerStarted,
    AttemptEnded,
    ClientGone,
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    RequestBodyReceived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    Settings,
    Tenant,
)

from larkweir.logs.follow import Follow, tenths
from larkweir.logs.lines import JsonJournal
from larkweir.logs.watch import Watch, drawn
from standins.peers import FakeUpstream, Incoming, Talk, ok, status
from tests.lifecycle.service import service, until
from tests.store.test_service import status_of
from tests.upstreams.test_attempts import run

LINES = {"note", "request", "upstream", "list", "cut"}


def test_milliseconds_are_told_to_a_tenth() -> None:
    rng = Random(5)
    for _ in range(5000):
        value = rng.choice(
            (0.0, 0.05, 10.0**6, rng.random(), rng.expovariate(0.001), rng.random() * 10.0**10)
        )
        found = tenths(value)
        assert abs(found - value) <= 0.05 + value * 1e-15 and len(repr(found).partition(".")[2]) == 1
    assert tenths(float("inf")) != tenths(float("inf"))  # and raises nothing


class Heard:
    def __init__(self, part: float = 1.0) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        cls = RequestClass(400.0, 1000.0, Effect.SAFE, name="look")
        settings = Settings((cls,), tenants=(Tenant(1.0, name="acme"),), max_attempts=3)
        self.watch = Watch(
            Balancer(settings, 1),
            settings,
            part,
            lambda number: b"id-%d" % number,
            lambda number: f"10.0.0.{number}:80",
            lambda event, fields: self.lines.append((event, fields)),
        )
        self.sent: list[Send] = []

    def tell(self, now: float, event: Any) -> None:
        for action in self.watch.handle(now, event):
            if isinstance(action, Send):
                self.sent.append(action)

    def of(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.lines if name == event]


def test_a_request_is_told_with_its_attempts_when_it_ends() -> None:
    heard = Heard()
    heard.tell(0.0, ListUpdate(ListKind.FULL, 3, [ServerEntry(1), ServerEntry(2)]))
    assert heard.of("list") == [
        {"kind": "full", "version": 3, "ready": 2, "draining": 0, "changes": 2}
        | {"changed": [["10.0.0.1:80", "ready"], ["10.0.0.2:80", "ready"]]}
    ]
    heard.tell(10.0, RequestArrived(1, 0, 900.0, expected_ms=5.0))
    first = heard.sent[0].server
    heard.tell(15.0, AttemptEnded(1, 0, first, Outcome.CONNECT_FAILED, False, 5.0))
    heard.tell(45.0, AttemptEnded(1, 1, heard.sent[1].server, Outcome.OK, True, 30.0, upstream_ms=28.0))
    (told,) = heard.of("request")
    assert told == {
        "id": "id-1",
        "class": "look",
        "tenant": "acme",
        "left_ms": 900.0,
        "hint_ms": 5.0,
        "at_ms": 10.0,
        "took_ms": 35.0,
        "status": 200,
        "attempts": [
            [f"10.0.0.{first}:80", 0.0, 5.0, "connect_failed", 0],
            [f"10.0.0.{heard.sent[1].server}:80", 5.0, 28.0, "ok", 0],
        ],
    }


def test_every_way_to_end_is_told_once() -> None:
    heard = Heard()
    heard.tell(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(1)]))
    for number in range(1, 4):
        heard.tell(1.0, RequestArrived(number, 0, 900.0))
    heard.tell(2.0, ClientGone(1))
    heard.tell(3.0, AttemptEnded(2, 0, 1, Outcome.REJECTED, False, 2.0))
    heard.tell(4.0, ListUpdate(ListKind.FULL, 2, []))
    heard.tell(950.0, RequestArrived(9, 0, 1.0))  # no time is left: refused at once
    heard.tell(5_000.0, RequestArrived(10, 0, 1.0))
    assert Counter(line["status"] for line in heard.of("request")) == {499: 1, 502: 1, 503: 2, 504: 1}
    assert [line["took_ms"] for line in heard.of("request") if line["status"] == 504] == [900.0]
    assert heard.of("list")[-1]["changed"] == [["10.0.0.1:80", "gone"]]


def test_no_deadline_is_counted_while_a_body_or_an_answer_comes() -> None:
    heard = Heard()
    heard.tell(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(1)]))
    heard.tell(1.0, RequestArrived(1, 0, 900.0, body_incomplete=True))
    heard.tell(2.0, RequestArrived(2, 0, 900.0))
    heard.tell(9.0, AnswerStarted(2, 0, 1, 7.0))
    heard.tell(5_000.0, RequestArrived(3, 0, 900.0))
    assert heard.of("request") == []  # neither is overdue
    heard.tell(5_000.0, RequestBodyReceived(1))
    heard.tell(5_001.0, AttemptEnded(2, 0, 1, Outcome.RESET, True, 7.0))  # it broke off: it had its answer
    assert [(line["id"], line["status"]) for line in heard.of("request")] == [("id-2", 200)]
    heard.tell(7_000.0, RequestArrived(4, 0, 900.0))  # 900 ms from its last byte on
    assert {line["id"]: line["status"] for line in heard.of("request")}["id-1"] == 504


def test_an_upstream_that_is_left_out_and_comes_back_is_told() -> None:
    heard = Heard(0.0)
    heard.tell(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(1, 5)]))
    now = 0.0
    for number in range(1, 400):
        now += 10.0
        heard.tell(now, RequestArrived(number, 0, 900.0))
        for attempt, action in enumerate(heard.sent):
            bad = action.server == 3 and now < 2_000.0
            outcome = Outcome.RESET if bad else Outcome.OK
            heard.tell(now, AttemptEnded(number, attempt, action.server, outcome, not bad, 5.0))
        heard.sent.clear()
    states = [line["state"] for line in heard.of("upstream")]
    assert states[0] == "left_out" and states[-1] == "back"
    assert {line["upstream"] for line in heard.of("upstream")} == {"10.0.0.3:80"}
    assert not heard.of("request")


@pytest.mark.parametrize("part", [0.0, 0.1, 0.5, 1.0])
def test_a_part_is_drawn_by_ids_and_the_same_everywhere(part: float) -> None:
    rng = Random(5)
    ids = [b"%032x" % rng.getrandbits(128) for _ in range(4_000)]
    found = sum(drawn(trace, part) for trace in ids)
    assert abs(found - 4_000 * part) <= 120
    assert all(drawn(trace, 1.0) >= drawn(trace, part) for trace in ids)


def test_what_is_followed_is_bounded() -> None:
    heard = Heard()
    for number in range(1, 3 * Follow.MOST):
        heard.watch._follow.before(0.0, RequestArrived(number, 0, 900.0))
    assert len(heard.watch._follow) == Follow.MOST
    many = [ServerEntry(n) for n in range(1, 500)]
    heard.tell(1.0, ListUpdate(ListKind.FULL, 1, many))
    assert heard.of("list")[0]["changes"] == 499 and len(heard.of("list")[0]["changed"]) == Watch.MOST_NAMED
    drained = [ServerEntry(7, ServerState.DRAINING)]
    heard.tell(2.0, ListUpdate(ListKind.DELTA, 2, drained))
    assert heard.of("list")[1]["draining"] == 1


def written(journal: JsonJournal, reader: int) -> list[dict[str, Any]]:
    journal.close()
    data = b""
    os.set_blocking(reader, False)
    while True:
        try:
            part = os.read(reader, 65_536)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return [json.loads(line) for line in data.decode().splitlines()]


def test_lines_are_bounded_by_kind_and_a_long_one_is_still_a_line() -> None:
    reader, writer = os.pipe()
    journal = JsonJournal("a", 5.0, writer)
    for n in range(50):
        journal.event("request", {"id": str(n)})
    journal.write('discovery: "odd"\nand more')
    journal.write("x" * 10_000)
    journal.event("upstream", {"upstream": "y" * 9_000, "state": "back"})
    os.close(writer)
    found = written(journal, reader)
    os.close(reader)
    requests = [line for line in found if line["event"] == "request"]
    assert 5 <= len(requests) <= 7
    notes = [line for line in found if line["event"] == "note"]
    assert notes[0]["part"] == "discovery" and notes[0]["text"] == '"odd"\nand more'
    assert len(notes[1]["text"]) == JsonJournal.TEXT
    assert found[-1]["event"] == "cut"
    assert all({"at", "mono_ms", "v", "name", "event"} <= line.keys() for line in found)


def test_a_running_balancer_tells_and_words_stay_the_default(tmp_path: Path) -> None:
    async def behave(request: Incoming, talk: Talk) -> None:
        await talk.send(status(500) if request.headers["x-trace-id"].endswith("7") else ok())

    async def work() -> None:
        upstream = await FakeUpstream(behave).start()
        async with service(tmp_path, upstream) as it:
            it.operator_path.write_text(
                '[lifecycle]\nnotify = true\n[log]\nformat = "json"\nrequests = 1.0\nrequests_per_s = 1000\n'
            )
            await it.start()
            answers = [await status_of(it, f"t{n}", "move") for n in range(20)]
            await until(lambda: sum('"event":"request"' in line for line in it.log) == 20, "each request")
            lines = [json.loads(line) for line in it.log]
            assert {line["event"] for line in lines} <= LINES
            told = {line["id"]: line for line in lines if line["event"] == "request"}
            assert [told[f"t{n}"]["status"] for n in range(20)] == answers
            address = f"127.0.0.1:{upstream.port}"
            assert told["t7"]["attempts"][0][0] == address and told["t7"]["attempts"][0][3] == "error"
            assert next(line for line in lines if line["event"] == "list")["changed"] == [[address, "ready"]]
        upstream.close()

    run(work())


def test_off_nothing_of_it_is_imported() -> None:
    code = (
        "import sys; import larkweir.lifecycle.node; import larkweir.cli.run;"
        "sys.exit(any(n.startswith(('structlog', 'larkweir.logs')) for n in sys.modules))"
    )

    async def work() -> int:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, cwd=Path(__file__).parents[2]
        )
        return await process.wait()

    assert asyncio.run(work()) == 0
