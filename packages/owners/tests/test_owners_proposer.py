"""Rounds of a single proposer."""

from larkweir_owners.messages import Accept, Accepted, Promised
from larkweir_owners.ports import Outcome, Result
from larkweir_owners.proposer import Proposer
from owners_cases import NEW, SET, RecordingTransport


def test_promises_of_outdated_incarnations_and_late_promises_do_not_count() -> None:
    transport = RecordingTransport()
    proposer = Proposer("p", 9, SET, transport, lambda: 0.0)
    results: list[Result] = []
    proposer.write("d", (0, 0), NEW, results.append)
    ballot = (1, "p", 9)
    none = (0, "", 0)

    def promise(
        source: str, progress: tuple[int, int, int], *known_progress: tuple[str, tuple[int, int, int]]
    ) -> None:
        proposer.on_message(source, Promised("d", ballot, none, None, progress, known_progress), 1.0)

    transport.sent.clear()
    promise("k0", (1, 10, 1))
    promise("k1", (1, 11, 1), ("k0", (2, 10, 0)))
    assert transport.sent == []  # k0 has lost its promise, because it has a later incarnation
    promise("k0", (2, 10, 1))
    sent = dict(transport.sent)
    assert sorted(sent) == ["k0", "k1"]
    accept = sent["k0"]
    assert isinstance(accept, Accept) and dict(accept.promised_by) == {"k0": (2, 10, 1), "k1": (1, 11, 1)}
    transport.sent.clear()
    promise("k2", (1, 12, 1))  # too late: the accepts do not name k2's incarnation
    assert transport.sent == []
    proposer.on_message("k1", Accepted("d", ballot, (1, 11, 2)), 2.0)
    proposer.on_message("k0", Accepted("d", ballot, (1, 10, 2)), 2.0)  # of the outdated incarnation
    assert results == []
    proposer.on_message("k0", Accepted("d", ballot, (2, 10, 2)), 2.0)
    assert results == [Result(Outcome.DONE, NEW)]
