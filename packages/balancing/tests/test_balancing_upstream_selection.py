"""Selection of an upstream in a router: sampling, tokens, backoff, prompt prefixes and prefill backlogs."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.token_list import MAX_AWAITING_FIRST_EVENT, UpstreamStatus
from larkweir_balancing.upstream_backoff import FULL_BACKOFF_MS
from larkweir_balancing.upstream_selection import (
    IN_TIME_FACTOR,
    PREFILL_BACKLOG_FRACTIONS,
    SelectionReason,
    UpstreamSelector,
)

NO_PROMPT = Prompt()
IDS = [f"u{n}" for n in range(6)]
SHARED_PROMPT = Prompt("5c1e", 9_000.0, 8_000.0)


def make_selector(
    ids: list[str] = IDS, *, engine: bool = False, connected: frozenset[str] = frozenset()
) -> UpstreamSelector:
    selector = UpstreamSelector(Random(1), is_engine=engine, has_idle_connection=connected.__contains__)
    selector.update({id_: UpstreamStatus(is_ready=True) for id_ in ids}, 0.0)
    return selector


def count_selected(
    selector: UpstreamSelector, times: int = 600, prompt: Prompt = NO_PROMPT
) -> Counter[str | None]:
    return Counter(selector.select(prompt, (), 0.0) for _ in range(times))


def test_selection_is_uniform_over_token_holders() -> None:
    selector = make_selector()
    selector.on_attempt_started("u0", NO_PROMPT, 0.0)
    counts = count_selected(selector)
    assert set(counts) == set(IDS[1:])
    assert min(counts.values()) > 80


def test_selection_is_uniform_over_ready_upstreams_if_none_holds_a_token() -> None:
    selector = make_selector()
    for id_ in IDS:
        selector.on_attempt_started(id_, NO_PROMPT, 0.0)
    counts = count_selected(selector)
    assert set(counts) == set(IDS)
    assert min(counts.values()) > 60


def test_a_token_returns_when_the_last_own_request_has_ended() -> None:
    selector = make_selector(["u0", "u1"])
    selector.on_attempt_started("u0", NO_PROMPT, 0.0)
    selector.on_attempt_started("u0", NO_PROMPT, 0.0)
    selector.on_attempt_released("u0", 0.0, 0.0)
    assert set(count_selected(selector)) == {"u1"}
    selector.on_attempt_released("u0", 0.0, 0.0)
    assert set(count_selected(selector)) == {"u0", "u1"}


def test_an_engine_holds_its_token_while_few_requests_await_their_first_event() -> None:
    selector = make_selector(["u0", "u1"], engine=True)
    for _ in range(MAX_AWAITING_FIRST_EVENT - 1):
        selector.on_attempt_started("u0", NO_PROMPT, 0.0)
    assert set(count_selected(selector)) == {"u0", "u1"}
    selector.on_attempt_started("u0", NO_PROMPT, 0.0)
    assert set(count_selected(selector)) == {"u1"}


def test_an_upstream_that_is_ready_again_earns_its_token_once_nothing_is_in_flight() -> None:
    selector = make_selector(["u0", "u1", "u2"])
    selector.on_attempt_started("u2", NO_PROMPT, 0.0)
    for is_ready in (False, True):
        paused = UpstreamStatus(is_ready=is_ready)
        selector.update(
            {"u0": UpstreamStatus(is_ready=True), "u1": paused, "u2": paused}, 0.0, has_tracks=True
        )
        assert set(count_selected(selector)) == ({"u0", "u1"} if is_ready else {"u0"})
    selector.on_attempt_released("u2", 0.0, 0.0)
    assert set(count_selected(selector)) == {"u0", "u1", "u2"}


def test_draining_and_removed_upstreams_are_never_selected() -> None:
    selector = make_selector()
    listed = {id_: UpstreamStatus(is_ready=id_ != "u1") for id_ in IDS if id_ != "u0"}
    selector.update(listed, 0.0)
    assert not set(count_selected(selector)) & {"u0", "u1"}
    for id_ in IDS:
        selector.on_attempt_started(id_, NO_PROMPT, 0.0)
    assert not set(count_selected(selector)) & {"u0", "u1"}


def test_unresponsive_upstreams_are_selected_only_if_there_is_no_other() -> None:
    selector = make_selector()
    selector.update({"u0": UpstreamStatus(True, is_unresponsive=True), "u1": UpstreamStatus(True)}, 0.0)
    assert set(count_selected(selector)) == {"u1"}
    assert selector.select(NO_PROMPT, {"u1"}, 0.0) == "u0"


def test_none_is_selected_if_none_is_ready() -> None:
    selector = make_selector([])
    assert selector.select(NO_PROMPT, (), 0.0) is None
    assert make_selector(["u0"]).select(NO_PROMPT, {"u0"}, 0.0) is None


def test_a_prefix_goes_to_the_same_engine_in_every_router() -> None:
    chosen = {make_selector(engine=True).select(SHARED_PROMPT, (), 0.0) for _ in range(5)}
    assert len(chosen) == 1
    chosen_ids = {
        make_selector(engine=True).select(Prompt(f"h{n}", 9_000.0, 8_000.0), (), 0.0) for n in range(60)
    }
    assert chosen_ids == set(IDS)


def test_the_prefix_owner_comes_first_while_it_holds_a_token() -> None:
    selector = make_selector(engine=True)
    preferred = selector.select(SHARED_PROMPT, (), 0.0)
    owner = next(id_ for id_ in IDS if id_ != preferred)
    assert selector.select(SHARED_PROMPT, (), 0.0, owner) == owner
    for _ in range(MAX_AWAITING_FIRST_EVENT):
        selector.on_attempt_started(owner, SHARED_PROMPT, 0.0)
    assert selector.select(SHARED_PROMPT, (), 0.0, owner) == preferred


def test_a_short_prefix_does_not_justify_a_new_connection() -> None:
    selector = make_selector(engine=True, connected=frozenset({"u3"}))
    counts = count_selected(selector, prompt=Prompt("5c1e", 400.0, 300.0))
    # Several samples look for an open connection; uniform selection would give 100 of 600.
    assert counts["u3"] > 400


def test_the_backlog_excludes_a_prefix_that_was_sent_before() -> None:
    selector = make_selector(engine=True)
    first = selector.on_attempt_started("u0", SHARED_PROMPT, 0.0)
    second = selector.on_attempt_started("u0", SHARED_PROMPT, 0.0)
    assert (first, second) == (9_000.0, 1_000.0)
    assert selector.own_prefill_backlog() == {"u0": 10_000}
    selector.on_attempt_released("u0", first, 0.0)
    selector.on_attempt_released("u0", second, 0.0)
    assert selector.own_prefill_backlog() == {}


def tokens_prefilled_in(selector: UpstreamSelector, ms: float) -> float:
    return (ms - selector.prefill_time.fixed_ms) / selector.prefill_time.ms_per_token


def test_short_requests_avoid_an_engine_with_a_large_prefill_backlog() -> None:
    selector = make_selector(["u0", "u1"], engine=True)
    for fraction in PREFILL_BACKLOG_FRACTIONS:
        selector.set_peer_prefill_backlog(
            {"u0": fraction * NO_PROMPT.latency_target_ms / selector.prefill_time.ms_per_token + 1.0}
        )
        assert set(count_selected(selector)) == {"u1"}
    selector.set_peer_prefill_backlog({"u0": 1e6, "u1": 1e6})
    assert set(count_selected(selector)) == {"u0", "u1"}
    selector.set_peer_prefill_backlog({})
    assert set(count_selected(selector)) == {"u0", "u1"}


def test_a_prefix_stays_at_its_owner_while_that_is_in_time() -> None:
    selector = make_selector(["u0", "u1"], engine=True)
    own_tokens = SHARED_PROMPT.tokens - SHARED_PROMPT.prefix_tokens
    limit = tokens_prefilled_in(selector, IN_TIME_FACTOR * SHARED_PROMPT.latency_target_ms) - own_tokens
    selector.set_peer_prefill_backlog({"u0": limit - 1.0})
    assert selector.select(SHARED_PROMPT, (), 0.0, "u0") == "u0"
    assert selector.last_reason is SelectionReason.PREFIX_OWNER
    selector.set_peer_prefill_backlog({"u0": limit + 1.0})
    assert selector.select(SHARED_PROMPT, (), 0.0, "u0") == "u1"


def test_a_prefix_stays_at_its_owner_if_no_other_engine_is_in_time() -> None:
    selector = make_selector(["u0", "u1"], engine=True)
    selector.set_peer_prefill_backlog({"u0": 10_000.0})
    urgent = Prompt("5c1e", 9_000.0, 8_000.0, latency_target_ms=60.0)
    assert selector.select(urgent, (), 0.0, "u0") == "u0"
    assert selector.select(SHARED_PROMPT, (), 0.0, "u0", remaining_ms=-5.0) == "u0"


def test_a_prefix_that_is_not_cached_yet_counts_in_the_expected_time() -> None:
    selector = make_selector(["u0", "u1"], engine=True)
    selector.update({"u0": UpstreamStatus(is_ready=True), "u1": UpstreamStatus(is_ready=True)}, 0.0)
    limit = (
        tokens_prefilled_in(selector, IN_TIME_FACTOR * SHARED_PROMPT.latency_target_ms) - SHARED_PROMPT.tokens
    )
    selector.set_peer_prefill_backlog({"u0": limit + 1.0})
    assert selector.select(SHARED_PROMPT, (), 0.0, "u0", is_cached=True) == "u0"
    assert selector.select(SHARED_PROMPT, (), 0.0, "u0", is_cached=False) == "u1"


def test_ejected_upstreams_are_selected_only_if_there_is_no_other() -> None:
    selector = make_selector(["u0", "u1", "u2"])
    selector.set_ejected({"u0", "u1", "another service's"})
    assert set(count_selected(selector)) == {"u2"}
    assert not selector.is_ready("u0")
    assert selector.select(NO_PROMPT, {"u2"}, 0.0) in {"u0", "u1"}
    assert selector.last_reason is SelectionReason.EJECTED
    selector.update({"u0": UpstreamStatus(True, is_unresponsive=True), "u1": UpstreamStatus(True)}, 0.0)
    assert selector.select(NO_PROMPT, (), 0.0) == "u1"
    selector.set_ejected(())
    selector.update({id_: UpstreamStatus(True) for id_ in ("u0", "u1", "u2")}, 0.0)
    assert set(count_selected(selector)) == {"u0", "u1", "u2"}


def test_a_request_is_overdue_after_a_multiple_of_its_expected_time() -> None:
    selector = make_selector(["u0"], engine=True)
    for tokens in (0.0, 10_000.0) * 20:
        selector.prefill_time.observe(tokens, 20.0 + 0.02 * tokens)
    assert selector.overdue_after_ms(NO_PROMPT, 0.0) == NO_PROMPT.latency_target_ms
    assert selector.overdue_after_ms(NO_PROMPT, 10_000.0) == pytest.approx(4 * 220.0)


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.FULL])
def test_a_failure_withholds_the_token_for_a_while(outcome: Outcome) -> None:
    selector = make_selector(["u0", "u1"])
    selector.on_outcome("u0", outcome, 0.0)
    assert set(count_selected(selector)) == {"u1"}
    assert selector.select(NO_PROMPT, {"u1"}, FULL_BACKOFF_MS / 2) == "u0"
    assert Counter(selector.select(NO_PROMPT, (), 5_000.0) for _ in range(100))["u0"] > 20


def test_the_backoff_grows_with_consecutive_failures_and_a_success_resets_it() -> None:
    selector = make_selector(["u0", "u1"])
    for _ in range(3):
        selector.on_outcome("u0", Outcome.RESET, 0.0)
    assert selector.select(NO_PROMPT, (), 900.0) == "u1"
    selector.on_outcome("u0", Outcome.OK, 2_000.0)
    selector.on_outcome("u0", Outcome.RESET, 2_000.0)
    assert Counter(selector.select(NO_PROMPT, (), 2_300.0) for _ in range(100))["u0"] > 20


class SelectionMachine(RuleBasedStateMachine):
    """Any order of lists, requests and failures: only ready upstreams are selected."""

    def __init__(self) -> None:
        super().__init__()
        self.selector = UpstreamSelector(Random(2), is_engine=False, has_idle_connection=lambda id_: False)
        self.ready: set[str] = set()
        self.calls: Counter[str] = Counter()
        self.now_ms = 0.0

    @rule(ready=st.sets(st.sampled_from(IDS)), draining=st.sets(st.sampled_from(IDS)))
    def update(self, ready: set[str], draining: set[str]) -> None:
        listed = {id_: UpstreamStatus(is_ready=id_ not in draining) for id_ in ready | draining}
        self.selector.update(listed, self.now_ms)
        self.ready = ready - draining
        self.calls = Counter({id_: count for id_, count in self.calls.items() if id_ in listed})

    @rule(excluded=st.sets(st.sampled_from(IDS), max_size=2))
    def send(self, excluded: set[str]) -> None:
        chosen = self.selector.select(NO_PROMPT, excluded, self.now_ms)
        if chosen is None:
            assert not self.ready - excluded
            return
        assert chosen in self.ready - excluded
        self.selector.on_attempt_started(chosen, NO_PROMPT, self.now_ms)
        self.calls[chosen] += 1

    @rule(id_=st.sampled_from(IDS), outcome=st.sampled_from([Outcome.OK, Outcome.RESET, Outcome.FULL]))
    def end(self, id_: str, outcome: Outcome) -> None:
        if self.calls[id_]:
            self.calls[id_] -= 1
            self.selector.on_attempt_released(id_, 0.0, self.now_ms)
            self.selector.on_outcome(id_, outcome, self.now_ms)

    @rule(by_ms=st.floats(0.0, 6_000.0))
    def wait(self, by_ms: float) -> None:
        self.now_ms += by_ms

    @invariant()
    def ready_count_is_correct(self) -> None:
        assert self.selector.ready_count == len(self.ready)


TestSelectionMachine = SelectionMachine.TestCase
