"""How a replica that has just started comes to vote, by hand."""

import pytest
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState, Slot
from larkweir_owners.messages import CatchUpPage, CatchUpRequest, Prepare, RecoveryReply, Rejected
from owners_cases import NEW, SET, keeper, only


@pytest.mark.parametrize(
    ("heard", "mode"),
    [((1, 10, 5), "catching"), ((1, 10, 6), "lost"), ((2, 10, 0), "lost"), ((1, 10, 3), "catching")],
)
def test_a_keeper_put_back_from_an_older_copy_is_told_and_does_not_vote(
    heard: tuple[int, int, int], mode: str
) -> None:
    disk = keeper(answers=5).state
    k = Acceptor("k0", disk)
    assert k.mode == "back"
    k.on_message("k1", RecoveryReply(heard, "voting", (1, 11, 9), SET))
    k.on_message("k2", RecoveryReply((0, 0, 0), "voting", (1, 12, 9), SET))
    assert k.mode == mode
    answer = only(k.on_message("p", Prepare(1, "d", (1, "p", 9))).messages)
    assert isinstance(answer, Rejected) and answer.reason == "rest"


def test_a_keeper_votes_when_both_others_have_taught_it_and_keeps_their_promises() -> None:
    k = Acceptor("k0", AcceptorState(77, SET))
    k.on_message("k1", RecoveryReply((1, 10, 8), "voting", (1, 11, 9), SET))
    k.on_message("k2", RecoveryReply((1, 10, 6), "voting", (1, 12, 9), SET))
    assert k.mode == "lost"
    (sent, _) = k.tick(0.0).messages
    assert sent == ("k1", CatchUpRequest((2, 77), ""))
    low, high = (4, "p", 9), (7, "q", 8)
    k.on_message("k1", CatchUpPage((2, 77), "", (("d", high, low, NEW),), False, SET))
    assert k.mode == "lost"
    step = k.on_message("k2", CatchUpPage((2, 77), "", (("d", low, (0, "", 0), None),), False, SET))
    assert (k.mode, k.state.slots["d"]) == ("voting", Slot(high, low, NEW))
    assert len(step.entries) == 2
    answer = only(k.on_message("p", Prepare(1, "d", (6, "p", 9))).messages)
    assert isinstance(answer, Rejected) and answer.promised_ballot == high
