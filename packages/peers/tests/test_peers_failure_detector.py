"""Probes while the list of peers changes: ping requests for unlisted members, and probes of removed members."""

from __future__ import annotations

from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.messages import (
    Nack,
    PingRequest,
    decode,
    encode,
)
from larkweir_peers.protocol import PeerProtocol
from rig_peers import KEY, NAMES, A, B, C, D, introduce, new_process, take_sent


def taken_messages(process: PeerProtocol, to: str) -> list[object]:
    return [
        decode(DatagramAuthenticator((KEY,)).verify(pack_address(to), data) or b"")
        for data in take_sent(process, to)
    ]


def test_a_ping_request_for_an_unlisted_target_is_answered_with_a_nack() -> None:
    """Without the nack, the requester's local health would get worse."""
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    b.replace_peers((A, C), 1.0)
    a.sender._last_sequence_number += 1
    request = PingRequest(
        pack_address(A), a.membership.incarnation, 0, a.sender._last_sequence_number, [], pack_address(D)
    )
    b.on_datagram(A, DatagramAuthenticator((KEY,)).sign(pack_address(B), encode(request)), 1.0)
    (answer,) = taken_messages(b, A)
    assert isinstance(answer, Nack) and answer.request_number == a.sender._last_sequence_number


def test_a_probe_of_a_removed_peer_is_dropped_without_a_report() -> None:
    a = new_process(A)
    introduce(a, new_process(B), new_process(C), new_process(D))
    a.tick(a.next_ms)
    probe = a._failure_detector._probe
    assert probe is not None
    a._failure_detector.on_ping_request(C if probe.target != C else B, probe.target, 7, a.next_ms)
    a.replace_peers([name for name in NAMES if name != probe.target], a.next_ms)
    assert (
        a._failure_detector._probe is None
        and not a._failure_detector._relayed
        and not a._failure_detector._nacks_due
    )
    score = a.health.score
    for _ in range(40):
        a.tick(a.next_ms)
        a.datagrams.clear()
    assert probe.target not in a.membership.members and a.health.score >= score
