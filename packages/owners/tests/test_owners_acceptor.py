"""An acceptor's votes, by hand."""

from larkweir_owners.acceptor_state import Slot
from larkweir_owners.messages import Accept, Prepare, ReadRequest, Rejected
from owners_cases import NEW, keeper, only


def test_an_accept_is_refused_where_a_life_that_promised_it_is_over() -> None:
    ballot = (3, "p", 9)
    by = (("k0", (1, 10, 1)), ("k1", (1, 11, 4)))
    for now, why in (((1, 10), ""), ((2, 10), "life")):
        k = keeper(now)
        k.state.slots["d"] = Slot(ballot)  # as it would have learned it from others
        answer = only(k.on_message("p", Accept(1, "d", ballot, NEW, by)).messages)
        assert getattr(answer, "reason", "") == why
    k = keeper()
    k.on_message("p", Prepare(1, "d", ballot))
    k.state.peer_progress["k1"] = (2, 11, 0)  # k1 has a new life, and asked this keeper to catch up
    step = k.on_message("p", Accept(1, "d", ballot, NEW, by))
    assert isinstance(only(step.messages), Rejected) and not step.entries
    assert k.state.slots["d"].record is None


def test_a_disk_that_cannot_be_written_ends_the_voting() -> None:
    k = keeper()
    k.on_disk_failed()
    for item in (Prepare(1, "d", (1, "p", 9)), ReadRequest(1, 1, "d")):
        step = k.on_message("p", item)
        assert isinstance(only(step.messages), Rejected) and not step.entries
