"""Mutated records for both sides of FastCGI, from a seed."""

from __future__ import annotations

from random import Random

from larkweir.core.message import Message
from larkweir.protocols.fastcgi.serving import Bad, Serving, Whole
from larkweir.protocols.fastcgi.upstream_machine import Answered, UpstreamMachine
from standins import fastcgi as f


def mutated(rng: Random, data: bytes) -> bytes:
    out = bytearray(data)
    for _ in range(rng.randint(1, 6)):
        at = rng.randrange(len(out))
        kind = rng.random()
        if kind < 0.5:
            out[at] = rng.randrange(256)
        elif kind < 0.7:
            del out[at : at + rng.randint(1, 12)]
        elif kind < 0.9:
            out[at:at] = bytes(rng.randrange(256) for _ in range(rng.randint(1, 12)))
        else:
            out[at:at] = out[rng.randrange(len(out)) :][:40]
        if not out:
            return b"\x01"
    return bytes(out)


def fuzz(rounds: int, seed: int) -> int:
    """Feed mutated records to both sides; returns how many. Raises if a side does anything but fault, refuse, or
    give an answer that is one.
    """
    rng = Random(seed)
    asked = f.ask(
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: look\r\nContent-Length: 3\r\n\r\nabc", 1
    ) + f.record(f.GET_VALUES, 0, f.pairs({"FCGI_MAX_REQS": ""}))
    text = b"Status: 200 OK\r\nContent-Length: 6\r\n\r\nserved"
    answer = f.record(f.STDOUT, 1, text, 3) + f.record(f.STDOUT, 1) + f.record(f.END, 1, bytes(8))
    for _ in range(rounds):
        serving = Serving(most=8)
        for event in serving.feed(mutated(rng, asked)):
            if isinstance(event, Whole):
                assert event.message.method and event.message.target.startswith(b"/")
                serving.answer(event.id, 200, b"OK", [], b"")
            elif isinstance(event, Bad):
                assert 400 <= event.fault.status < 500
                serving.answer(event.id, event.fault.status, b"X", [], b"")
        assert serving.held < 200_000 and serving.open <= 8
        machine = UpstreamMachine(80)
        message = Message()
        message.method, message.target = b"GET", b"/api"
        machine.begin(message, [], [])
        ends = machine.feed(mutated(rng, answer))
        assert len(ends) <= 1
        for end in ends:
            if isinstance(end, Answered):
                assert 200 <= end.message.status <= 599 and end.id == 1
        assert machine.buffered_bytes < 200_000
    return 2 * rounds
