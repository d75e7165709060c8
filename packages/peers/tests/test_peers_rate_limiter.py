"""The send limit holds over any time span, and a reserve is kept for membership messages."""

from __future__ import annotations

from random import Random

from larkweir_peers.rate_limiter import TokenBucket
from rig_peers import A, B, introduce, new_process


def test_the_limit_holds_over_any_time_span_and_membership_has_a_reserve() -> None:
    random, now, taken = Random(3), 0.0, [(0.0, 0)]
    bucket = TokenBucket(50.0, 20.0, 0.0)
    for _ in range(2_000):
        now += random.expovariate(1 / 7.0) if random.randrange(50) else 5_000.0
        number = random.randrange(1, 6)
        if bucket.try_acquire(number, 0.0, now):
            taken.append((now, number))
    for at in range(0, len(taken), 5):
        total = 0
        for when, number in taken[at : at + 200]:
            total += number
            assert total <= 20.0 + 50.0 * (when - taken[at][0]) / 1000.0 + 1e-6
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    while a.post(B, 1, b"x", 0.0):
        pass
    assert a.sender.rejected == 1 and a.sender.ping(B, 0.0) is not None
    left = sum(a.sender.ping(B, 0.0) is not None for _ in range(100))
    assert 28 <= left <= 32 and not any(a.sender.ping(B, 0.0) for _ in range(9))
    assert a.post(B, 1, b"x", 1_000.0)
