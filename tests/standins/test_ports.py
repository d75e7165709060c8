"""A chosen port stays its chooser's until it listens there, and while it is away."""

from __future__ import annotations

import errno
import socket

import pytest

from standins.ports import HELD, free_port


def test_nobody_else_binds_a_kept_port_and_its_owner_listens_there_again_and_again() -> None:
    port = free_port()
    for _ in range(2):
        with socket.socket() as other, pytest.raises(OSError) as problem:
            other.bind(("127.0.0.1", port))
        assert problem.value.errno == errno.EADDRINUSE
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port), 5.0)
        with socket.create_server(("127.0.0.1", port)), socket.create_connection(("127.0.0.1", port), 5.0):
            pass


def test_what_is_kept_is_bounded() -> None:
    first = free_port()
    assert len({free_port() for _ in range(HELD)} | {first}) == HELD + 1
    with socket.socket() as other:
        other.bind(("127.0.0.1", first))
