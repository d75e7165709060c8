"""Votes of a single acceptor."""

from larkweir_owners.acceptor_state import Slot
from larkweir_owners.messages import Accept, Prepare, ReadRequest, Rejected
from owners_cases import NEW, only_message, voting_acceptor


def test_accept_is_rejected_when_a_promising_incarnation_is_outdated() -> None:
    ballot = (3, "p", 9)
    promised_by = (("k0", (1, 10, 1)), ("k1", (1, 11, 4)))
    for incarnation, reason in (((1, 10), ""), ((2, 10), "life")):
        acceptor = voting_acceptor(incarnation)
        acceptor.state.slots["d"] = Slot(ballot)  # as if learned from another replica
        answer = only_message(acceptor.on_message("p", Accept(1, "d", ballot, NEW, promised_by)).messages)
        assert getattr(answer, "reason", "") == reason
    acceptor = voting_acceptor()
    acceptor.on_message("p", Prepare(1, "d", ballot))
    # k1 has a new incarnation, and has asked this acceptor for pages
    acceptor.state.peer_progress["k1"] = (2, 11, 0)
    output = acceptor.on_message("p", Accept(1, "d", ballot, NEW, promised_by))
    assert isinstance(only_message(output.messages), Rejected) and not output.entries
    assert acceptor.state.slots["d"].record is None


def test_acceptor_stops_voting_when_its_disk_cannot_be_written() -> None:
    acceptor = voting_acceptor()
    acceptor.on_disk_failed()
    for item in (Prepare(1, "d", (1, "p", 9)), ReadRequest(1, 1, "d")):
        output = acceptor.on_message("p", item)
        assert isinstance(only_message(output.messages), Rejected) and not output.entries
