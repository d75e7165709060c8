"""The simulated network: a seed gives the same run each time, and each fault has the documented effect."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from itertools import pairwise

import pytest
from larkweir_simulated import Network

SCRIPT = """
import hashlib
from larkweir_simulated import Network
def run(seed):
    net = Network(seed, loss_rate=0.1, duplicate_rate=0.1)
    digest = hashlib.sha256()
    names = ["a", "b", "c", "d"]
    def listener(name):
        def on_datagram(source, data):
            digest.update(f"{net.now_ms!r} {source}>{name} {data!r}\\n".encode())
            if len(data) < 40:
                net.send(name, net.rng.choice(names), data + name.encode())
        return on_datagram
    for name in names:
        net.listen(name, listener(name))
        for _ in range(5):
            net.after(net.rng.random(), lambda name=name: net.send(name, "a", b""), name)
    net.at(20, lambda: net.pause("b"))
    net.at(30, lambda: net.split([["a", "b"], {"c", "d"}]))
    net.at(60, lambda: (net.heal(), net.cut("c", "d")))
    net.at(70, lambda: net.resume("b"))
    net.at(80, lambda: (net.kill("c"), net.listen("c", listener("c"))))
    net.run(300, max_events=20_000)
    return digest.hexdigest(), net.sent, net.delivered
"""


def record_datagrams(net: Network, *names: str) -> list[tuple[float, str, bytes]]:
    """Listen at `names`; return a list that receives the time, the receiver and the data of each datagram."""
    received: list[tuple[float, str, bytes]] = []
    for name in names:
        net.listen(name, lambda source, data, name=name: received.append((net.now_ms, name, data)))
    return received


def test_a_seed_gives_the_same_run_under_any_hash_seed() -> None:
    outputs = set()
    for hash_seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        code = SCRIPT + "print([run(seed) for seed in range(5)])"
        completed = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, check=True)
        outputs.add(completed.stdout)
    (output,) = outputs
    runs = eval(output)
    assert len({digest for digest, _, _ in runs}) == 5
    assert all(delivered > 50 for _, _, delivered in runs)


def test_loss_duplication_and_reordering_occur_at_the_configured_rates() -> None:
    net = Network(7, (1.0, 10.0), loss_rate=0.2, duplicate_rate=0.1)
    received = record_datagrams(net, "b")
    for number in range(10_000):
        net.send("a", "b", number.to_bytes(2, "big"))
    assert net.run(0.99) == 0
    net.run(10)
    copies = Counter(Counter(data for _, _, data in received).values())
    assert 0.19 < 1 - sum(copies.values()) / 10_000 < 0.21
    assert 0.09 < copies[2] / sum(copies.values()) < 0.11
    assert set(copies) == {1, 2}
    assert min(when for when, _, _ in received) >= 1.0 and max(when for when, _, _ in received) <= 10.0
    order = [data for _, _, data in received]
    assert sum(one > other for one, other in pairwise(order)) > 3_000
    assert (net.sent, net.sent_bytes, net.delivered) == (10_000, 20_000, len(received))


def test_a_constant_delay_keeps_the_order_of_datagrams() -> None:
    net = Network(1, (5.0, 5.0))
    received = record_datagrams(net, "b")
    for number in range(9):
        net.send("a", "b", bytes([number]))
    net.run(5)
    assert received == [(5.0, "b", bytes([number])) for number in range(9)]


@pytest.mark.parametrize(
    ("fault", "passing"),
    [
        (lambda net: net.cut("a", "b"), {"ac", "bc", "ca", "cb"}),
        (lambda net: net.cut("a", "b", both=False), {"ac", "ba", "bc", "ca", "cb"}),
        (lambda net: net.split([["a"], ["b", "c"]]), {"bc", "cb"}),
        (lambda net: net.split([["a"]]), {"bc", "cb"}),
        (lambda net: (net.split([["a"], ["b"]]), net.split([["a", "b"], ["c"]])), {"ab", "ba"}),
        (
            lambda net: (net.cut("a", "b"), net.split([["a"]]), net.heal()),
            {"ab", "ac", "ba", "bc", "ca", "cb"},
        ),
    ],
)
def test_a_cut_blocks_new_datagrams_and_those_in_flight(
    fault: Callable[[Network], object], passing: set[str]
) -> None:
    for in_flight in (False, True):
        net = Network(3, (5.0, 5.0))
        received = record_datagrams(net, "a", "b", "c")
        links = [one + other for one in "abc" for other in "abc" if one != other]
        if in_flight:
            net.at(2, lambda net=net: fault(net))
        else:
            fault(net)
            net.at(4, net.heal)
        for one, other in links:
            net.send(one, other, one.encode())
        net.run(10)
        assert {data.decode() + name for _, name, data in received} == passing


def test_a_paused_process_handles_its_pending_events_when_resumed() -> None:
    net = Network(1, (5.0, 5.0))
    received = record_datagrams(net, "a", "b")
    ticks: list[float] = []

    def tick() -> None:
        ticks.append(net.now_ms)
        net.after(10, tick, "a")

    net.after(10, tick, "a")
    timer = net.after(16, lambda: ticks.append(-1), "a")
    net.at(1, lambda: (net.pause("a"), net.pause("a")))
    net.at(2, lambda: (net.send("b", "a", b"1"), net.send("a", "b", b"sent before")))
    net.at(12, lambda: net.send("b", "a", b"2"))
    net.at(17, timer.cancel)
    net.at(50, lambda: (net.resume("a"), net.resume("b")))
    net.run(49)
    assert (ticks, received) == ([], [(7.0, "b", b"sent before")])
    net.run(65)
    assert received[1:] == [(50.0, "a", b"1"), (50.0, "a", b"2")]
    assert ticks == [50.0, 60.0]


def test_a_killed_process_leaves_nothing_to_its_next_incarnation() -> None:
    net = Network(1, (5.0, 5.0))
    received = record_datagrams(net, "a", "b")
    ticks: list[str] = []
    net.at(20, lambda: ticks.append("timer of the killed process"), "a")
    net.at(20, lambda: ticks.append("timer of the test"))
    net.send("b", "a", b"held, then lost")
    net.pause("a")
    net.at(8, lambda: (net.send("a", "b", b"last words"), net.send("b", "a", b"on its way")))
    net.at(10, lambda: net.kill("a"))
    net.at(11, lambda: net.send("b", "a", b"for the next"))
    net.at(12, lambda: received.extend(record_datagrams(net, "a")))
    net.run(12)
    received_later: list[bytes] = []
    net.kill("a")
    net.listen("a", lambda source, data: received_later.append(data))
    net.send("b", "a", b"hello")
    net.run(30)
    assert (received, received_later, ticks) == (
        [(13.0, "b", b"last words")],
        [b"hello"],
        ["timer of the test"],
    )


def test_a_datagram_sent_after_a_kill_reaches_the_next_incarnation() -> None:
    net = Network(1, (5.0, 5.0))
    net.kill("a")
    net.send("b", "a", b"early")
    net.run(3)
    received = record_datagrams(net, "a")
    net.run(9)
    assert received == [(5.0, "a", b"early")]


def test_misuse_raises_an_error() -> None:
    net = Network(1)
    record_datagrams(net, "a")
    with pytest.raises(ValueError, match="a is already listening"):
        net.listen("a", lambda source, data: None)
    net.after(1, lambda: net.run(5))
    with pytest.raises(RuntimeError, match="called by an event that it is running"):
        net.run(5)

    def endless() -> None:
        net.at(0, endless)

    endless()
    with pytest.raises(RuntimeError, match="more than 100 events by"):
        net.run(9, max_events=100)
    assert net.now_ms == 1.0


def test_run_leaves_the_clock_at_its_end_time() -> None:
    net = Network(1)
    done: list[float] = []
    net.at(5, lambda: net.at(2, lambda: done.append(net.now_ms)))
    assert (net.run(4), net.now_ms, net.run(5), net.now_ms, done) == (0, 4, 2, 5, [5])
    net.run(1)
    assert net.now_ms == 5
