"""Requests to restored servers, which are known from disk only."""

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
        (RestoredTrust(0.3, probe_pending=True), ""),  # it waits for the probe
        (RestoredTrust(0.3), "safe"),  # no probe is pending: the request serves as one
        (RestoredTrust(0.9, is_verified=True, has_location=True), "safe"),  # verified by a previous process
        (PROBED, "safe"),
        (VERIFIED, "safe keyed unsafe"),
        (LOCATED, "safe keyed unsafe keyed_in_zone"),
    ],
)
def test_which_classes_may_be_sent_to_a_restored_server(trust: RestoredTrust, allowed: str) -> None:
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
def test_more_knowledge_of_a_server_never_allows_less(trust: RestoredTrust, in_flight: int) -> None:
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


def test_one_request_at_a_time_until_the_server_has_served_one() -> None:
    balancer = make_balancer(RestoredTrust(0.9))
    assert sends(balancer, 1.0, 1, SAFE) == [1]
    assert sends(balancer, 2.0, 2, SAFE) == []  # waits: the first request may soon provide evidence
    balancer.handle(
        3.0,
        ListUpdate(
            ListKind.PROOF, 1, [ServerEntry(1, restored_trust=RestoredTrust(1.0, ObservedEvidence.ANSWER))]
        ),
    )
    found = [server for number in range(3, 9) for server in sends(balancer, 4.0, number, SAFE)]
    assert found == [1] * 6


def test_a_request_is_refused_at_once_unless_a_pending_probe_may_admit_it() -> None:
    for pending in (False, True):
        balancer = make_balancer(RestoredTrust(0.9, probe_pending=pending))
        found = balancer.handle(1.0, RequestArrived(1, CLASSES.index(UNSAFE), 1000.0))
        refused = any(isinstance(action, Refuse) for action in found)
        assert refused is not pending
        assert not any(isinstance(action, Send) for action in found)


def test_a_keyed_request_is_retried_only_at_a_server_whose_zone_is_verified() -> None:
    balancer = make_balancer(LOCATED, VERIFIED._replace(probe_pending=True))
    assert sends(balancer, 1.0, 1, KEYED_IN_ZONE) == [1]
    again = balancer.handle(2.0, AttemptEnded(1, 0, 1, Outcome.RESET, False, 1.0))
    assert all(action.server == 1 for action in again if isinstance(action, Send))


def test_a_full_list_from_discovery_ends_the_restored_state() -> None:
    balancer = make_balancer(RestoredTrust(0.9), RestoredTrust(0.9))
    (first,) = sends(balancer, 1.0, 1, SAFE)
    balancer.handle(2.0, ListUpdate(ListKind.FULL, 2, [ServerEntry(1), ServerEntry(2)]))
    assert balancer.table.servers[first].in_flight == 1  # the request in flight is still counted
    assert not balancer.table.restored_count
    assert len(sends(balancer, 3.0, 2, UNSAFE)) == 1
    done = balancer.handle(4.0, AttemptEnded(1, 0, first, Outcome.OK, True, 3.0))
    assert not any(isinstance(action, Send) for action in done)


def test_a_restored_server_that_is_removed_gets_no_new_requests() -> None:
    balancer = make_balancer(RestoredTrust(0.9), RestoredTrust(0.9))
    balancer.handle(1.0, ListUpdate(ListKind.PROOF, 1, [ServerEntry(1, ServerState.GONE)]))
    assert {sends(balancer, 2.0, number, SAFE)[0] for number in (1,)} == {2}
    assert balancer.table.restored_count == 1


def test_evidence_of_restored_servers_is_no_list_from_discovery() -> None:
    """Where discovery is on request, requests for the list continue as if nothing had arrived."""
    balancer = make_balancer(RestoredTrust(0.9), discovery=True)
    balancer._list_requested_ms = 4_000.0
    out = balancer.handle(1.0, ListUpdate(ListKind.PROOF, 1, [ServerEntry(1, restored_trust=LOCATED)]))
    assert out == [] and balancer._list_requested_ms == 4_000.0
