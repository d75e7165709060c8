"""The simulated network: the same run from a seed, and each fault as it is promised."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from itertools import pairwise

import pytest
from larkweir_simulated import Network

STORY = """
import hashlib
from larkweir_simulated import Network
def play(seed):
    net = Network(seed, lost=0.1, doubled=0.1)
    told = hashlib.sha256()
    names = ["a", "b", "c", "d"]
    def listener(name):
        def came(source, data):
            told.update(f"{net.now_ms!r} {source}>{name} {data!r}\\n".encode())
            if len(data) < 40:
                net.send(name, net.rng.choice(names), data + name.encode())
        return came
    for name in names:
        net.listen(name, listener(name))
        for _ in range(5):
            net.after(net.rng.random(), lambda name=name: net.send(name, "a", b""), name)
    net.at(20, lambda: net.stop("b"))
    net.at(30, lambda: net.split([["a", "b"], {"c", "d"}]))
    net.at(60, lambda: (net.heal(), net.cut("c", "d")))
    net.at(70, lambda: net.go_on("b"))
    net.at(80, lambda: (net.kill("c"), net.listen("c", listener("c"))))
    net.run(300, at_most=20_000)
    return told.hexdigest(), net.sent, net.delivered
"""


def heard(net: Network, *names: str) -> list[tuple[float, str, bytes]]:
    """Those names listen; gives when each datagram came, at whom, and what it said."""
    came: list[tuple[float, str, bytes]] = []
    for name in names:
        net.listen(name, lambda source, data, name=name: came.append((net.now_ms, name, data)))
    return came


def test_the_same_seed_is_the_same_run_to_the_byte_under_any_hash_seed() -> None:
    told = set()
    for hash_seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        code = STORY + "print([play(seed) for seed in range(5)])"
        done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, check=True)
        told.add(done.stdout)
    (only,) = told
    runs = eval(only)
    assert len({digest for digest, _, _ in runs}) == 5
    assert all(delivered > 50 for _, _, delivered in runs)


def test_losses_copies_and_overtaking_come_as_often_as_told() -> None:
    net = Network(7, (1.0, 10.0), lost=0.2, doubled=0.1)
    came = heard(net, "b")
    for number in range(10_000):
        net.send("a", "b", number.to_bytes(2, "big"))
    assert net.run(0.99) == 0
    net.run(10)
    copies = Counter(Counter(data for _, _, data in came).values())
    assert 0.19 < 1 - sum(copies.values()) / 10_000 < 0.21
    assert 0.09 < copies[2] / sum(copies.values()) < 0.11
    assert set(copies) == {1, 2}
    assert min(when for when, _, _ in came) >= 1.0 and max(when for when, _, _ in came) <= 10.0
    order = [data for _, _, data in came]
    assert sum(one > other for one, other in pairwise(order)) > 3_000
    assert (net.sent, net.sent_bytes, net.delivered) == (10_000, 20_000, len(came))


def test_without_a_spread_nothing_overtakes() -> None:
    net = Network(1, (5.0, 5.0))
    came = heard(net, "b")
    for number in range(9):
        net.send("a", "b", bytes([number]))
    net.run(5)
    assert came == [(5.0, "b", bytes([number])) for number in range(9)]


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
def test_a_cut_holds_for_what_is_sent_and_for_what_is_on_its_way(
    fault: Callable[[Network], object], passing: set[str]
) -> None:
    for on_its_way in (False, True):
        net = Network(3, (5.0, 5.0))
        came = heard(net, "a", "b", "c")
        ways = [one + other for one in "abc" for other in "abc" if one != other]
        if on_its_way:
            net.at(2, lambda net=net: fault(net))
        else:
            fault(net)
            net.at(4, net.heal)
        for one, other in ways:
            net.send(one, other, one.encode())
        net.run(10)
        assert {data.decode() + name for _, name, data in came} == passing


def test_a_stopped_process_gets_all_that_was_due_when_it_goes_on() -> None:
    net = Network(1, (5.0, 5.0))
    came = heard(net, "a", "b")
    ticks: list[float] = []

    def tick() -> None:
        ticks.append(net.now_ms)
        net.after(10, tick, "a")

    net.after(10, tick, "a")
    given_up = net.after(16, lambda: ticks.append(-1), "a")
    net.at(1, lambda: (net.stop("a"), net.stop("a")))
    net.at(2, lambda: (net.send("b", "a", b"1"), net.send("a", "b", b"sent before")))
    net.at(12, lambda: net.send("b", "a", b"2"))
    net.at(17, given_up.cancel)
    net.at(50, lambda: (net.go_on("a"), net.go_on("b")))
    net.run(49)
    assert (ticks, came) == ([], [(7.0, "b", b"sent before")])
    net.run(65)
    assert came[1:] == [(50.0, "a", b"1"), (50.0, "a", b"2")]
    assert ticks == [50.0, 60.0]


def test_a_killed_process_leaves_nothing_to_its_next_life() -> None:
    net = Network(1, (5.0, 5.0))
    came = heard(net, "a", "b")
    ticks: list[str] = []
    net.at(20, lambda: ticks.append("of the first life"), "a")
    net.at(20, lambda: ticks.append("of the test"))
    net.send("b", "a", b"held, then lost")
    net.stop("a")
    net.at(8, lambda: (net.send("a", "b", b"last words"), net.send("b", "a", b"on its way")))
    net.at(10, lambda: net.kill("a"))
    net.at(11, lambda: net.send("b", "a", b"for the next"))
    net.at(12, lambda: came.extend(heard(net, "a")))
    net.run(12)
    again: list[bytes] = []
    net.kill("a")
    net.listen("a", lambda source, data: again.append(data))
    net.send("b", "a", b"hello")
    net.run(30)
    assert (came, again, ticks) == ([(13.0, "b", b"last words")], [b"hello"], ["of the test"])


def test_what_was_sent_to_a_name_before_it_listens_again_is_for_its_next_life() -> None:
    net = Network(1, (5.0, 5.0))
    net.kill("a")
    net.send("b", "a", b"early")
    net.run(3)
    came = heard(net, "a")
    net.run(9)
    assert came == [(5.0, "a", b"early")]


def test_misuse_is_told() -> None:
    net = Network(1)
    heard(net, "a")
    with pytest.raises(ValueError, match="a is listening already"):
        net.listen("a", lambda source, data: None)
    net.after(1, lambda: net.run(5))
    with pytest.raises(RuntimeError, match="called by something that it runs"):
        net.run(5)

    def endless() -> None:
        net.at(0, endless)

    endless()
    with pytest.raises(RuntimeError, match="more than 100 things"):
        net.run(9, at_most=100)
    assert net.now_ms == 1.0


def test_time_is_where_run_left_it() -> None:
    net = Network(1)
    done: list[float] = []
    net.at(5, lambda: net.at(2, lambda: done.append(net.now_ms)))
    assert (net.run(4), net.now_ms, net.run(5), net.now_ms, done) == (0, 4, 2, 5, [5])
    net.run(1)
    assert net.now_ms == 5
