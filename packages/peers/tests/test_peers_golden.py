"""Compatibility with earlier releases: recorded frames, tags and an exchange are decoded and reproduced exactly."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from larkweir_peers.addresses import pack_address, unpack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.fragmentation import Reassembler, split_item
from larkweir_peers.messages import (
    MESSAGE_TYPES,
    Ack,
    Fragment,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
)
from larkweir_peers.protocol import PeerProtocol

GOLDEN = Path(__file__).parent / "golden"
A, B, C = (f"127.0.0.1:{7001 + n}" for n in range(3))
KEY, OLD_KEY = b"sixteen letters!", b"the key of before"
HEAD = (pack_address(A), (1_700_000_000_000 << 16) + 2, 0xDEADBEEF, 2**40 + 1)
UPDATES = [
    MemberUpdate(pack_address(B), 1, 1_700_000_000_000 << 16),
    MemberUpdate(pack_address(C), 2, 5, pack_address(B)),
    MemberUpdate(pack_address(B), 3, 0),
    MemberUpdate(pack_address(C), 4, 2**63 - 1),
]
MESSAGES: dict[str, Message] = {
    "ping": Ping(*HEAD, UPDATES),
    "ping_alone": Ping(pack_address(A), 1 << 16, 0, 0, []),
    "ack": Ack(*HEAD, UPDATES[:1], 77),
    "ask": PingRequest(*HEAD, [], pack_address(C)),
    "nack": Nack(*HEAD, [], 78),
    "part": Fragment(*HEAD, UPDATES[1:2], 255, 2**33, 1, 44, bytes(range(40))),
}
LARGE = bytes(range(256)) * 2


def read_rows(name: str) -> dict[str, bytes]:
    """Read a file of lines with a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


EXPECTED = {name: read_rows(f"{name}.hex") for name in ("frames", "exchange")}


def processes() -> dict[str, PeerProtocol]:
    return {
        name: PeerProtocol(name, (A, B, C), Random(name), 0.0, process_start_ms, (KEY,))
        for name, process_start_ms in ((A, 1_000), (B, 2_000), (C, 3_000))
    }


def exchange() -> list[tuple[str, bytes]]:
    """Return all datagrams of three processes that probe, send items, suspect a silent process, and leave."""
    by_name = processes()
    found: list[tuple[str, bytes]] = []
    silent = {C}
    for turn in range(60):
        now_ms = 100.0 * turn
        if turn == 5:
            assert by_name[A].post(B, 2, LARGE, now_ms) and by_name[A].post(B, 3, b"", now_ms)
        if turn == 40:
            silent.clear()
        if turn == 55:
            by_name[B].leave(now_ms)
        for name, process in by_name.items():
            process.tick(now_ms)
            outgoing = [(item.to, item.data) for item in process.datagrams]
            process.datagrams.clear()
            for to, data in outgoing:
                found.append((f"{turn}:{name}>{to}", data))
                if not silent & {name, to}:
                    by_name[to].on_datagram(name, data, now_ms)
    assert [tuple(item) for item in by_name[B].items] == [(A, 2, LARGE), (A, 3, b"")]
    found += [
        (f"{name}:{reason}", count.to_bytes(4, "big"))
        for name, process in by_name.items()
        for reason, count in process.dropped.items()
    ]
    return found


@pytest.mark.parametrize("name", MESSAGES)
def test_a_golden_frame_is_decoded_and_encoded_unchanged(name: str) -> None:
    assert encode(MESSAGES[name]) == EXPECTED["frames"][name]
    assert decode(EXPECTED["frames"][name]) == MESSAGES[name]


def test_every_message_type_has_a_golden_frame() -> None:
    assert {type(message) for message in MESSAGES.values()} == set(MESSAGE_TYPES.values())


def test_an_address_and_a_tag_are_unchanged() -> None:
    assert pack_address(A) == EXPECTED["frames"]["name"] and unpack_address(EXPECTED["frames"]["name"]) == A
    signed = EXPECTED["frames"]["sealed"]
    assert DatagramAuthenticator((KEY, OLD_KEY)).sign(pack_address(B), EXPECTED["frames"]["ping"]) == signed
    assert DatagramAuthenticator((OLD_KEY, KEY)).verify(pack_address(B), signed) == EXPECTED["frames"]["ping"]
    assert DatagramAuthenticator((KEY,)).verify(pack_address(C), signed) is None


def test_an_item_in_fragments_is_reassembled() -> None:
    fragments = [EXPECTED["frames"][f"piece{number}"] for number in range(3)]
    assert split_item(LARGE) == fragments
    reassembler = Reassembler()
    assert [reassembler.add_fragment(A, 1, 2, n, 3, piece, 0.0) for n, piece in enumerate(fragments)] == [
        None,
        None,
        LARGE,
    ]


def test_each_datagram_of_an_exchange_is_unchanged() -> None:
    found = exchange()
    assert [f"{number}:{what}" for number, (what, _) in enumerate(found)] == list(EXPECTED["exchange"])
    assert [data for _, data in found] == list(EXPECTED["exchange"].values())
