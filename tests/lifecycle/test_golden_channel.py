"""The handover's messages as the release before sends them are understood, and the same are sent."""

from __future__ import annotations

import asyncio
import os
import socket
import threading
from pathlib import Path

import pytest

from larkweir.lifecycle.channel import (
    HandoverState,
    Message,
    MessageKind,
    Payload,
    ReplicaMark,
    TakenIds,
    decode,
    encode,
)
from larkweir.lifecycle.upgrade import UpgradePeer, request_sockets

LINES = (Path(__file__).parent / "golden" / "channel.jsonl").read_bytes().splitlines(keepends=True)
STATE = HandoverState(
    12.5,
    "127.0.0.1:1",
    {"generation": 3, "reset": True, "instances": [{"instanceId": "s-1", "lifecycle": "active"}]},
    {"s-1": 7.25},
    [("a\u00e9", 9.0), ("b", 0.5)],
    {"credit": 1.0, "means": {"0": [1.5, 2]}},
    True,
    True,
)
MESSAGES: dict[str, tuple[MessageKind, Payload]] = {
    "state": (MessageKind.STATE, STATE),
    "ready": (MessageKind.READY, TakenIds()),
    "ready of an older one": (MessageKind.READY, None),
    "go": (MessageKind.GO, STATE._replace(paused=False, accepts_ids=False)),
    "took": (MessageKind.TOOK, ReplicaMark()),
    "took of an older one": (MessageKind.TOOK, None),
    "kept": (MessageKind.IDS_STORED, ReplicaMark("6b0700" * 5)),
    "seen": (MessageKind.SEEN, TakenIds(("a\u00e9", "b"))),
    "reload": (MessageKind.RELOAD, None),
    "give_up": (MessageKind.GIVE_UP, None),
    "bye": (MessageKind.BYE, None),
}


@pytest.mark.parametrize(("name", "line"), zip(MESSAGES, LINES, strict=True), ids=list(MESSAGES))
def test_a_message_is_read_and_written_as_before(name: str, line: bytes) -> None:
    kind, payload = MESSAGES[name]
    assert encode(kind, payload) == line
    assert decode(line) == Message(kind, payload)


def test_every_kind_of_message_is_here() -> None:
    assert {kind for kind, _ in MESSAGES.values()} == set(MessageKind)


def test_a_state_without_what_came_later_is_read() -> None:
    line = LINES[0].replace(b',"paused":true,"hears":true', b"")
    assert line != LINES[0]
    assert decode(line) == Message(MessageKind.STATE, STATE._replace(paused=False, accepts_ids=False))


def test_a_new_process_says_hello_as_before(tmp_path: Path) -> None:
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(tmp_path / "berth"))
    listener.listen()
    heard: list[bytes] = []

    def serve() -> None:
        peer, _ = listener.accept()
        with peer, peer.makefile("rb") as stream:
            heard.append(stream.readline())

    thread = threading.Thread(target=serve)
    thread.start()
    assert request_sockets(str(tmp_path / "berth"), ("127.0.0.1", 8080)) == "it passes no sockets"
    thread.join(30.0)
    listener.close()
    assert heard == [b'{"word": "hello", "version": 1, "listen": "127.0.0.1:8080"}\n']


def test_the_sockets_are_passed_as_before() -> None:
    async def passed() -> tuple[bytes, int]:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with theirs, socket.create_server(("127.0.0.1", 0)) as served:
            peer = UpgradePeer(ours)
            await peer.accept([("http1", served)], lambda message: None, lambda fault: None)
            await asyncio.sleep(0)
            first, descriptors, _, _ = socket.recv_fds(theirs, 1, 4)
            with theirs.makefile("rb") as stream:
                line = first + await asyncio.to_thread(stream.readline)
            for descriptor in descriptors:
                os.close(descriptor)
            peer.channel.close()
            return line, len(descriptors)

    assert asyncio.run(passed()) == (b'{"version": 1, "speaks": ["http1"]}\n', 1)
