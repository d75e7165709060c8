"""What goes to a server that is only remembered."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    AttemptEnded,
    Effect,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    Settings,
)
from larkweir_balancing.restored_trust import (
    DIRECT_SEND_CONFIDENCE,
    MIN_CONFIDENCE,
    ObservedEvidence,
    RestoredTrust,
    is_admitted,
    is_trusted,
    may_become_trusted,
)

SAFE = RequestClass(400.0, 1000.0, Effect.SAFE, name="safe")
UNSAFE = RequestClass(400.0, 1000.0, Effect.UNSAFE, name="unsafe")
KEYED_IN_ZONE = RequestClass(
    400.0, 1000.0, Effect.KEYED, group=Group.ZONE, memory_ms=5000.0, name="keyed_in_zone"
)
KEYED = RequestClass(400.0, 1000.0, Effect.KEYED, group=Group.ALL, memory_ms=5000.0, name="keyed")
CLASSES = (SAFE, UNSAFE, KEYED_IN_ZONE, KEYED)

PROBED, VERIFIED, LOCATED = (
    RestoredTrust(0.9, ObservedEvidence.PROBE),
    RestoredTrust(0.9, ObservedEvidence.PROBE, True),
    RestoredTrust(0.9, ObservedEvidence.PROBE, True, True),
)


@pytest.mark.parametrize(
    ("trust", "allowed"),
    [
        (RestoredTrust(MIN_CONFIDENCE / 2.0, ObservedEvidence.ANSWER, True, True), ""),
        (RestoredTrust(DIRECT_SEND_CONFIDENCE), "safe"),
        (RestoredTrust(DIRECT_SEND_CONFIDENCE, probe_pending=True), "safe"),
        (RestoredTrust(0.3, probe_pending=True), ""),  # a probe comes first
        (RestoredTrust(0.3), "safe"),  # none will: the request is the probe
        (RestoredTrust(0.9, is_verified=True, has_location=True), "safe"),  # it showed that in a life before
        (PROBED, "safe"),
        (VERIFIED, "safe keyed unsafe"),
        (LOCATED, "safe keyed unsafe keyed_in_zone"),
    ],
)
def test_which_classes_may_go_to_a_remembered_server(trust: RestoredTrust, allowed: str) -> None:
    assert [cls.name for cls in CLASSES if is_trusted(cls, trust)] == [
        cls.name for cls in CLASSES if cls.name in allowed.split()
    ]


trusts = st.builds(
    RestoredTrust,
    st.floats(0.0, 1.0),
    st.sampled_from(ObservedEvidence),
    st.booleans(),
    st.booleans(),
    st.booleans(),
)


@given(trusts, st.integers(0, 100))
def test_what_is_known_more_never_allows_less(trust: RestoredTrust, in_flight: int) -> None:
    for cls in CLASSES:
        better = [trust._replace(is_verified=True), trust._replace(has_location=True)]
        if trust.evidence < ObservedEvidence.ANSWER:
            better.append(trust._replace(evidence=ObservedEvidence(trust.evidence + 1)))
        for more in better:
            assert is_admitted(cls, trust, in_flight) <= is_admitted(cls, more, in_flight)
        assert is_admitted(cls, trust, in_flight) <= is_trusted(cls, trust) <= may_become_trusted(cls, trust)
        if cls.effect is not Effect.SAFE:
            assert not is_admitted(cls, trust._replace(is_verified=False), in_flight)


def make_balancer(*trusts: RestoredTrust | None, discovery: bool = False) -> Balancer:
    balancer = Balancer(Settings(CLASSES, max_attempts=3, tier=1, tiers=2, on_request_discovery=discovery), 1)
    entries = [ServerEntry(n + 1, restored_trust=trust) for n, trust in enumerate(trusts)]
    balancer.handle(0.0, ListUpdate(ListKind.CACHED, 1, entries))
    return balancer


def sends(balancer: Balancer, now: float, number: int, cls: RequestClass) -> list[int]:
    found = balancer.handle(now, RequestArrived(number, CLASSES.index(cls), 1000.0))
    return [action.server for action in found if isinstance(action, Send)]


def test_one_call_at_once_before_the_first_proof_and_as_many_as_come_after_an_answer() -> None:
    balancer = make_balancer(RestoredTrust(0.9))
    assert sends(balancer, 1.0, 1, SAFE) == [1]
    assert sends(balancer, 2.0, 2, SAFE) == []  # held: the first call may prove it in a moment
    balancer.handle(
        3.0,
        ListUpdate(
            ListKind.PROOF, 1, [ServerEntry(1, restored_trust=RestoredTrust(1.0, ObservedEvidence.ANSWER))]
        ),
    )
    found = [server for number in range(3, 9) for server in sends(balancer, 4.0, number, SAFE)]
    assert found == [1] * 6


def test_what_no_server_will_take_is_refused_at_once_and_what_a_probe_may_change_is_not() -> None:
    for pending in (False, True):
        balancer = make_balancer(RestoredTrust(0.9, probe_pending=pending))
        found = balancer.handle(1.0, RequestArrived(1, CLASSES.index(UNSAFE), 1000.0))
        refused = any(isinstance(action, Refuse) for action in found)
        assert refused is not pending
        assert not any(isinstance(action, Send) for action in found)


def test_a_repeat_of_a_keyed_request_goes_only_to_a_server_whose_zone_is_shown() -> None:
    balancer = make_balancer(LOCATED, VERIFIED._replace(probe_pending=True))
    assert sends(balancer, 1.0, 1, KEYED_IN_ZONE) == [1]
    again = balancer.handle(2.0, AttemptEnded(1, 0, 1, Outcome.RESET, False, 1.0))
    assert all(action.server == 1 for action in again if isinstance(action, Send))


def test_discoverys_word_ends_it_without_a_gap() -> None:
    balancer = make_balancer(RestoredTrust(0.9), RestoredTrust(0.9))
    (first,) = sends(balancer, 1.0, 1, SAFE)
    balancer.handle(2.0, ListUpdate(ListKind.FULL, 2, [ServerEntry(1), ServerEntry(2)]))
    assert balancer.table.servers[first].in_flight == 1  # what is out there is known still
    assert not balancer.table.restored_count
    assert len(sends(balancer, 3.0, 2, UNSAFE)) == 1
    done = balancer.handle(4.0, AttemptEnded(1, 0, first, Outcome.OK, True, 3.0))
    assert not any(isinstance(action, Send) for action in done)


def test_a_server_that_is_not_trusted_any_more_is_gone_for_new_requests() -> None:
    balancer = make_balancer(RestoredTrust(0.9), RestoredTrust(0.9))
    balancer.handle(1.0, ListUpdate(ListKind.PROOF, 1, [ServerEntry(1, ServerState.GONE)]))
    assert {sends(balancer, 2.0, number, SAFE)[0] for number in (1,)} == {2}
    assert balancer.table.restored_count == 1


def test_a_proof_is_no_word_of_discovery() -> None:
    """Where the list must be asked for, asking goes on as if nothing had come."""
    balancer = make_balancer(RestoredTrust(0.9), discovery=True)
    balancer._list_requested_ms = 4_000.0
    out = balancer.handle(1.0, ListUpdate(ListKind.PROOF, 1, [ServerEntry(1, restored_trust=LOCATED)]))
    assert out == [] and balancer._list_requested_ms == 4_000.0
