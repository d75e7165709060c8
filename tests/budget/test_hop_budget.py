"""Budget headers at one tier, without sockets: which are trusted, removed, sent down and returned."""

from __future__ import annotations

from typing import Any

from larkweir_balancing.interface import Effect, Outcome, RequestArrived, RequestClass, Settings, Tenant

from larkweir.budget.chain import HopBudget, TierBudgets
from larkweir.budget.rules import UsefulTime
from larkweir.config.options import Budget
from larkweir.core.message import Message

CLASSES = (
    RequestClass(400.0, 1000.0, Effect.SAFE, worth=1.0),
    RequestClass(400.0, 1000.0, Effect.KEYED, worth=8.0, memory_ms=4000.0),
)


def chain(tier: int = 0, tiers: int = 2, **options: Any) -> TierBudgets:
    given = {"on": True, "trust": ("10.0.0.0/8", "unix"), "retry_ratio": 5.0} | options
    return TierBudgets(Budget(**given), Settings(CLASSES, tier=tier, tiers=tiers), lambda line: None)


def arrive(
    it: TierBudgets,
    peer: str = "10.1.2.3",
    cls: int = 0,
    left: float = 1000.0,
    retry: bool = False,
    **headers: bytes,
) -> tuple[HopBudget | list[tuple[bytes, bytes]], Message, RequestArrived]:
    message = Message()
    message.headers = [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
    event = RequestArrived(1, cls, left, client_retry=retry)
    return it.arrive(peer, message, event, 0.0), message, event


def test_headers_are_always_removed_and_trusted_only_from_trusted_peers() -> None:
    it = chain()
    for peer, attempts in (("10.1.2.3", 2), ("unix", 2), ("192.0.2.1", 4), ("", 4), ("nonsense", 4)):
        hop_budget, message, event = arrive(it, peer, X_Budget=b"2", x_budget_path=b"a", X_Other=b"kept")
        assert isinstance(hop_budget, HopBudget)
        assert message.headers == [(b"X-Other", b"kept")] and event.attempts_left == attempts
        grant = hop_budget.grant(0, 4, 0.0)
        assert grant is not None
        assert dict(grant)[b"X-Budget-Path"] == (b"a, tier-0" if attempts == 2 else b"tier-0")


def test_a_forged_worth_is_bounded_by_what_the_caller_is_entitled_to() -> None:
    for most, worth in ((1.0, 1.0), (3.0, 3.0)):
        hop_budget, _, _ = arrive(chain(worth_most=most), X_Budget_Worth=b"999999")
        assert isinstance(hop_budget, HopBudget) and hop_budget.worth == worth
    hop_budget, _, _ = arrive(chain(), X_Budget_Worth=b"0.5")
    assert isinstance(hop_budget, HopBudget) and hop_budget.worth == 0.5
    hop_budget, _, _ = arrive(chain(), "192.0.2.1", X_Budget_Worth=b"0.5")
    assert isinstance(hop_budget, HopBudget) and hop_budget.worth == 1.0


def test_unreadable_values_are_counted_and_replaced_by_the_defaults() -> None:
    it = chain()
    hop_budget, _, event = arrive(it, X_Budget=b"many", X_Budget_Worth=b"-", X_Budget_Path=b",,")
    assert isinstance(hop_budget, HopBudget) and (event.attempts_left, it.unreadable) == (4, 3)


def test_a_client_s_own_retry_shares_the_rest_of_its_first_budget() -> None:
    """The first request still has an attempt in flight: both together cost no more than one budget."""
    it = chain(tier=1)
    first, _, _ = arrive(it, cls=1, X_Budget=b"3", Idempotency_Key=b"k")
    assert isinstance(first, HopBudget) and first.grant(0, 4, 0.0)
    second, _, event = arrive(it, cls=1, retry=True, X_Budget=b"3", Idempotency_Key=b"k")
    assert isinstance(second, HopBudget) and event.attempts_left == 2
    assert first.grant(1, 3, 0.0) is None
    assert [bool(second.grant(n, 4, 0.0)) for n in range(3)] == [True, True, False]
    first.settle(0, Outcome.OK, Message(), 5.0)
    first.closing(200)
    second.closing(502)
    assert not it.open_keys


def test_two_tenants_with_the_same_key_have_separate_budgets_also_after_a_reload() -> None:
    """Guards a tenant's attempts against another tenant whose clients chose the same idempotency key."""
    acme, beta = Tenant(1.0, name="acme"), Tenant(1.0, name="beta")
    it = chain(tier=1)
    it.configure(Settings(CLASSES, tier=1, tiers=2, tenants=(acme, beta)))
    message = Message()
    message.headers = [(b"Idempotency-Key", b"k"), (b"X-Budget", b"3")]

    def ask(tenant: int) -> tuple[HopBudget, int | None]:
        asked = Message()
        asked.headers = list(message.headers)
        event = RequestArrived(1, 1, 1000.0, client_retry=True, tenant=tenant)
        hop_budget = it.arrive("10.1.2.3", asked, event, 0.0)
        assert isinstance(hop_budget, HopBudget)
        return hop_budget, event.attempts_left

    first, _ = ask(0)
    assert first.grant(0, 4, 0.0)
    assert ask(1)[1] == 3 and first.account.left == 2
    it.configure(Settings(CLASSES, tier=1, tiers=2, tenants=(beta, acme)))
    second, attempts = ask(1)  # acme, at another index
    assert attempts == 2 and first.account.left == 0
    first.closing(502)
    third, attempts = ask(1)  # the end of the first has kept the entry of the second
    assert attempts == 2 and second.account.left == 0
    third.closing(200)


def test_a_class_that_reuses_an_index_does_not_inherit_its_times() -> None:
    it = chain()
    for _ in range(UsefulTime.MIN_SAMPLES):
        it.useful.observe(0, 900.0)
    assert isinstance(arrive(it, left=500.0)[0], list)
    it.configure(Settings((RequestClass(400.0, 1000.0, Effect.SAFE, name="new"), CLASSES[1]), tiers=2))
    assert isinstance(arrive(it, left=500.0)[0], HopBudget)


def test_the_cost_of_an_attempt_by_its_outcome() -> None:
    """At the last tier, and further up with and without a report from below."""

    def left(tier: int, outcome: Outcome, reported: bytes | None = None) -> int:
        hop_budget, _, _ = arrive(chain(tier=tier, divide="half"), X_Budget=b"4")
        assert isinstance(hop_budget, HopBudget) and hop_budget.grant(0, 4, 0.0)
        answer = None
        if reported is not None:
            answer = Message()
            answer.headers = [(b"X-Budget-Spent", reported)]
        hop_budget.settle(0, outcome, answer, 5.0)
        hop_budget.settle(0, outcome, answer, 6.0)  # a second report
        return hop_budget.left

    last = {Outcome.OK: 3, Outcome.ERROR: 3, Outcome.TIMEOUT: 3, Outcome.FULL: 3}
    last |= {Outcome.CONNECT_FAILED: 4, Outcome.MOOT: 4}
    for outcome, expected in last.items():
        assert left(1, outcome) == expected
    assert left(0, Outcome.RESET) == 2  # half of four was granted, and no report came back
    assert left(0, Outcome.ERROR, b"1") == 3
    assert left(0, Outcome.ERROR, b"77") == 2
    assert left(0, Outcome.ERROR, b"x") == 2
    assert left(0, Outcome.FULL) == 4 and left(0, Outcome.FULL, b"1") == 3


def test_a_loop_reported_from_below_ends_the_request_here() -> None:
    hop_budget, _, _ = arrive(chain(), X_Budget=b"8")
    assert isinstance(hop_budget, HopBudget) and hop_budget.grant(0, 4, 0.0)
    answer = Message()
    answer.headers = [(b"X-Budget-Loop", b"1"), (b"X-Budget-Spent", b"0")]
    hop_budget.settle(0, Outcome.FULL, answer, 1.0)
    assert hop_budget.left == 0 and hop_budget.grant(1, 3, 0.0) is None
    assert dict(hop_budget.closing(503)) == {
        b"X-Budget-Spent": b"0",
        b"X-Budget-Loop": b"1",
        b"X-Never-Ran": b"1",
    }


def test_a_refusal_says_never_ran_only_if_nothing_may_have_run() -> None:
    for outcome, marked in ((Outcome.FULL, True), (Outcome.RESET, False), (None, False)):
        hop_budget, _, _ = arrive(chain(tier=1), X_Budget=b"4")
        assert isinstance(hop_budget, HopBudget) and hop_budget.grant(0, 4, 0.0)
        if outcome is not None:
            hop_budget.settle(0, outcome, None, 1.0)
        assert ((b"X-Never-Ran", b"1") in hop_budget.closing(503)) is marked


def test_errors_and_loops_do_not_raise_the_pressure() -> None:
    """Guards the worth gate: only requests without enough time or capacity raise the pressure."""
    it = chain()
    for status, pressed in ((502, False), (500, False), (499, False), (503, True), (504, True)):
        before = it.gate.pressure
        hop_budget, _, _ = arrive(it, X_Budget=b"4")
        assert isinstance(hop_budget, HopBudget)
        hop_budget.closing(status)
        assert (it.gate.pressure > before) is pressed
    before = it.gate.pressure
    hop_budget, _, _ = arrive(it, X_Budget=b"4")
    assert isinstance(hop_budget, HopBudget)
    hop_budget.account.looped = True
    hop_budget.closing(503)
    assert it.gate.pressure == before


def test_the_path_is_bounded() -> None:
    it = chain(hops=3)
    assert isinstance(arrive(it, X_Budget_Path=b"a, b")[0], HopBudget)
    refused = arrive(it, X_Budget_Path=b"a, b, c")[0]
    assert isinstance(refused, list) and (b"X-Budget-Loop", b"1") in refused and it.loops == 1
    assert isinstance(arrive(it, X_Budget_Path=b"tier-0")[0], list)


def test_memory_is_bounded_with_ten_thousand_tenants() -> None:
    it = chain()
    for n in range(10_000):
        hop_budget, _, _ = arrive(
            it, f"10.{n // 250}.{n % 250}.1", cls=1, X_Customer=b"t%d" % n, Idempotency_Key=b"%d" % n
        )
        assert isinstance(hop_budget, HopBudget)
    assert len(it.open_keys) == TierBudgets.MAX_OPEN_KEYS
    assert it.trusts.cache_info().currsize <= 1024


def test_an_attempt_without_enough_time_to_be_useful_is_not_begun() -> None:
    it = chain(way_back_ms=5.0)
    for _ in range(50):
        hop_budget, _, _ = arrive(it)
        assert isinstance(hop_budget, HopBudget) and hop_budget.grant(0, 4, 0.0)
        hop_budget.settle(0, Outcome.OK, Message(), 100.0)
        hop_budget.closing(200)
    assert isinstance(arrive(it, left=120.0)[0], HopBudget)
    assert isinstance(arrive(it, left=90.0)[0], list)
    assert isinstance(arrive(it, cls=1, left=90.0)[0], HopBudget)  # no samples of that class


class RecordingPropagator:
    """Another component with a header of its own; records its calls."""

    name = b"X-Capture"

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def baggage_for(
        self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float
    ) -> RecordingPropagator:
        self.calls.append(("came", came, trace))
        return self

    def down(self) -> bytes:
        return b"down"

    def on_answer(self, text: bytes | None, ran: bool) -> None:
        self.calls.append(("reported", text, ran))

    def up(self) -> bytes:
        return b"up"

    def closed(self, status: int) -> None:
        self.calls.append(("closed", status))


def test_the_header_of_another_component_is_carried_both_ways_for_trusted_peers() -> None:
    for peer, came, up in (("10.1.2.3", b"it", [b"up"]), ("192.0.2.1", None, [])):
        it, propagator = chain(), RecordingPropagator()
        it.carry(propagator)
        hop_budget, message, _ = arrive(it, peer, X_Capture=b"it", X_Other=b"kept")
        assert message.headers == [(b"X-Other", b"kept")] and propagator.calls == [("came", came, b"")]
        assert isinstance(hop_budget, HopBudget)
        grant = hop_budget.grant(0, 4, 0.0)
        assert grant is not None and dict(grant)[b"X-Capture"] == b"down"
        answer = Message()
        answer.headers = [(b"x-capture", b"back")]
        hop_budget.settle(0, Outcome.OK, answer, 1.0)
        assert [value for name, value in hop_budget.closing(200) if name == b"X-Capture"] == up
        assert propagator.calls[1:] == [("reported", b"back", True), ("closed", 200)]
        assert it.own == (b"x-budget", b"x-capture")


def test_the_carried_component_hears_of_lost_answers_and_refusals() -> None:
    it, propagator = chain(), RecordingPropagator()
    it.carry(propagator)
    hop_budget, _, _ = arrive(it)
    assert isinstance(hop_budget, HopBudget)
    for attempt, outcome in enumerate((Outcome.TIMEOUT, Outcome.CONNECT_FAILED)):
        assert hop_budget.grant(attempt, 4, 0.0) is not None
        hop_budget.settle(attempt, outcome, None, 1.0)
    assert propagator.calls[1:] == [("reported", None, True), ("reported", None, False)]
    refused, _, _ = arrive(it, X_Budget_Path=b"a, tier-0")
    assert isinstance(refused, list) and (b"X-Capture", b"up") in refused
    assert propagator.calls[-1] == ("closed", 503)
