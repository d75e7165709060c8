"""Recovery of a replica that has just started."""

import pytest
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState, Slot
from larkweir_owners.messages import CatchUpPage, CatchUpRequest, Prepare, RecoveryReply, Rejected
from owners_cases import NEW, SET, only_message, voting_acceptor


@pytest.mark.parametrize(
    ("known_progress", "mode"),
    [((1, 10, 5), "catching"), ((1, 10, 6), "lost"), ((2, 10, 0), "lost"), ((1, 10, 3), "catching")],
)
def test_acceptor_restored_from_an_older_copy_detects_it_and_does_not_vote(
    known_progress: tuple[int, int, int], mode: str
) -> None:
    disk = voting_acceptor(answer_count=5).state
    acceptor = Acceptor("k0", disk)
    assert acceptor.mode == "back"
    acceptor.on_message("k1", RecoveryReply(known_progress, "voting", (1, 11, 9), SET))
    acceptor.on_message("k2", RecoveryReply((0, 0, 0), "voting", (1, 12, 9), SET))
    assert acceptor.mode == mode
    answer = only_message(acceptor.on_message("p", Prepare(1, "d", (1, "p", 9))).messages)
    assert isinstance(answer, Rejected) and answer.reason == "rest"


def test_acceptor_votes_after_catching_up_from_both_peers_and_keeps_their_promises() -> None:
    acceptor = Acceptor("k0", AcceptorState(77, SET))
    acceptor.on_message("k1", RecoveryReply((1, 10, 8), "voting", (1, 11, 9), SET))
    acceptor.on_message("k2", RecoveryReply((1, 10, 6), "voting", (1, 12, 9), SET))
    assert acceptor.mode == "lost"
    (sent, _) = acceptor.tick(0.0).messages
    assert sent == ("k1", CatchUpRequest((2, 77), ""))
    low, high = (4, "p", 9), (7, "q", 8)
    acceptor.on_message("k1", CatchUpPage((2, 77), "", (("d", high, low, NEW),), False, SET))
    assert acceptor.mode == "lost"
    output = acceptor.on_message("k2", CatchUpPage((2, 77), "", (("d", low, (0, "", 0), None),), False, SET))
    assert (acceptor.mode, acceptor.state.slots["d"]) == ("voting", Slot(high, low, NEW))
    assert len(output.entries) == 2
    answer = only_message(acceptor.on_message("p", Prepare(1, "d", (6, "p", 9))).messages)
    assert isinstance(answer, Rejected) and answer.promised_ballot == high
