"""A replica set, records, and fakes of the interfaces that a module uses."""

from collections.abc import Sequence

from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState, fingerprint
from larkweir_owners.messages import MAX_MESSAGE_BYTES, AnyMessage, Record, ReplicaSet, decode
from larkweir_owners.ports import OnResult

SET = ReplicaSet(1, ("k0", "k1", "k2"))


NEW = Record(1, 1, "p", 9, value=b"x")


class RecordingTransport:
    def __init__(self) -> None:
        self.sent: list[tuple[str, AnyMessage]] = []

    def post(self, to: str, item: bytes) -> bool:
        read = decode(item)
        assert read is not None and len(item) <= MAX_MESSAGE_BYTES
        self.sent.append((to, read))
        return True

    def alive(self) -> Sequence[str]:
        return [f"p{n}" for n in range(20)]


def voting_acceptor(incarnation: tuple[int, int] = (1, 10), answer_count: int = 0) -> Acceptor:
    disk = AcceptorState(
        incarnation[1], SET, incarnation, True, answer_count, {"k1": (1, 11, 0), "k2": (1, 12, 0)}
    )
    return Acceptor("k0", disk, fingerprint(disk))


def only_message(sent: list[tuple[str, AnyMessage]]) -> AnyMessage:
    assert len(sent) == 1
    return sent[0][1]


class Registers:
    def __init__(self) -> None:
        self.reads: list[tuple[str, OnResult]] = []

    def read(self, key: str, on_result: OnResult) -> None:
        self.reads.append((key, on_result))

    def write(self, key: str, expected: tuple[int, int], record: Record, on_result: OnResult) -> None:
        raise AssertionError


def record(term: int, number: int, preferred_owner: str = "") -> Record:
    return Record(
        term, number, "p1" if not preferred_owner else "", 1, preferred_owner, number, b"%d" % number
    )
