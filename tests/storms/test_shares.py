"""Which requests are admitted: max-min fairness, order by worth, and no group without a share."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from larkweir.storms.admission_swap import AdmissionSwap, RecoveryWindow
from larkweir.storms.shares import WORTH_FACTORS, Kind, Shares, divide, max_min_fair

AMOUNTS = st.floats(0.0, 1000.0)
WANTS = st.lists(st.floats(0.0, 500.0), min_size=1, max_size=8)


@given(amount=AMOUNTS, wants=WANTS, data=st.data())
def test_fill_is_weighted_max_min(amount: float, wants: list[float], data: st.DataObject) -> None:
    weights = data.draw(st.lists(st.floats(0.01, 1.0), min_size=len(wants), max_size=len(wants)))
    given_amounts = max_min_fair(amount, wants, weights)
    assert sum(given_amounts) <= min(amount, sum(wants)) * (1 + 1e-9) + 1e-9
    assert sum(given_amounts) >= min(amount, sum(wants)) * (1 - 1e-6) - 1e-6  # all of it is given out
    levels = [got / weight for got, weight in zip(given_amounts, weights, strict=True)]
    for at, want in enumerate(wants):
        assert 0.0 <= given_amounts[at] <= want + 1e-6
        if given_amounts[at] < want - 1e-6:  # an unfilled demand has the highest level
            assert levels[at] >= max(levels) * (1 - 1e-6) - 1e-6


@st.composite
def demands(draw: st.DrawFn) -> tuple[float, list[list[float]], list[float], list[float]]:
    rows, tenants = draw(st.integers(1, 6)), draw(st.integers(1, 5))
    wants = [[draw(st.floats(0.0, 100.0)) for _ in range(tenants)] for _ in range(rows)]
    values = [draw(st.floats(0.1, 10.0)) for _ in range(rows)]
    tenant_shares = [draw(st.floats(0.01, 1.0)) for _ in range(tenants)]
    whole = sum(tenant_shares)
    return draw(st.floats(0.0, 500.0)), wants, values, [share / whole for share in tenant_shares]


@given(demands())
@settings(max_examples=300)
def test_divide_gives_out_everything_and_nobody_more_than_it_wants(
    case: tuple[float, list[list[float]], list[float], list[float]],
) -> None:
    amount, wants, values, tenant_shares = case
    given_amounts = divide(amount, wants, values, tenant_shares, 0.05)
    total = sum(map(sum, wants))
    assert sum(map(sum, given_amounts)) <= min(amount, total) + 1e-6
    assert sum(map(sum, given_amounts)) >= min(amount, total) * (1 - 1e-6) - 1e-6
    for row, got in zip(wants, given_amounts, strict=True):
        for want, item in zip(row, got, strict=True):
            assert -1e-9 <= item <= want + 1e-6
            if want > 1e-6 and amount > 1e-6:
                assert item > 0.0  # every group gets something


def test_more_worth_goes_first_and_the_rest_does_not_starve() -> None:
    tenant_shares = [0.5, 0.5]
    wants = [[60.0, 60.0], [30.0, 30.0]]
    look, publish = divide(80.0, wants, [1.0, 8.0], tenant_shares, 0.05)
    assert sum(publish) > 59.0
    assert 15.0 < sum(look) < 21.0


def test_a_loud_tenant_of_high_worth_takes_nothing_from_the_shares_of_others() -> None:
    tenant_shares = [0.25] * 4
    wants = [[0.0, 20.0, 20.0, 20.0], [500.0, 0.0, 0.0, 0.0]]
    look, publish = divide(80.0, wants, [1.0, 8.0], tenant_shares, 0.05)
    assert min(look[1:]) > 15.0  # near their own shares of what there is
    assert publish[0] < 40.0


def test_requests_are_preferred_evenly_at_their_ratio() -> None:
    rng = Random(3)
    shares = Shares([1.0, 8.0], [0.6, 0.4], rng)
    came = [0, 0]
    wanted = [0, 0]
    for tick in range(100):
        for _ in range(60):
            cls = int(rng.random() < 0.4)
            wants = shares.prefers(cls, Kind.FIRST, int(rng.random() < 0.4))
            if tick >= 20:
                came[cls] += 1
                wanted[cls] += wants
        shares.tick(150.0, 0.2)  # 300 arrive per second, of which half may be admitted
    assert wanted[1] > 0.95 * came[1]
    assert 0.04 * came[0] < wanted[0] < 0.35 * came[0]
    assert 0.42 < sum(wanted) / sum(came) < 0.55


def test_returns_on_time_rank_above_first_attempts_and_early_ones_below_repeats() -> None:
    assert (
        WORTH_FACTORS[Kind.PROMISED]
        > WORTH_FACTORS[Kind.FIRST]
        > WORTH_FACTORS[Kind.AGAIN]
        > WORTH_FACTORS[Kind.IGNORING]
    )


@given(st.lists(st.tuples(st.booleans(), st.booleans()), max_size=400), st.floats(0.0, 100.0))
def test_a_swap_changes_which_requests_are_admitted_and_not_how_many(
    steps: list[tuple[bool, bool]], sent_per_s: float
) -> None:
    swap = AdmissionSwap()
    most = max(1.0, AdmissionSwap.MAX_CREDIT_S * sent_per_s) + 1.0
    before = after = 0
    for let_in, preferred in steps:
        verdict = swap.decide(let_in, preferred, sent_per_s)
        before += let_in
        after += verdict
        assert verdict or not (let_in and preferred)  # preferred and admitted by the limiter: always admitted
        assert not verdict or let_in or preferred
        assert 0 <= after - before <= most  # credit is used before it is paid back, never the reverse


def test_returning_servers_get_as_many_calls_as_were_in_flight_in_calm() -> None:
    recovery = RecoveryWindow()
    assert recovery.window_after_return(3.0, 0, 4) == 3.0  # no history yet
    for _ in range(200):
        recovery.observe_calm(500.0, 6.0, 12)
    assert abs(recovery.window_after_return(500.0, 0, 12) - 12.0) < 0.2
    assert abs(recovery.window_after_return(0.1, 0, 3) - 3.0) < 0.1  # a quarter of the servers
    # More servers than ever before do not raise it.
    assert abs(recovery.window_after_return(0.1, 2, 40) - 12.0) < 0.2
    # The limiter has adjusted it since the first server returned.
    assert recovery.window_after_return(20.0, 2, 12) == 20.0
