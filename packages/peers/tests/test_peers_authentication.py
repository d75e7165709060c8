"""The tag of a datagram is valid for one key and one receiver only."""

from __future__ import annotations

import pytest
from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.messages import (
    Ping,
    encode,
)

ME = pack_address("127.0.0.1:7946")
GOOD = encode(Ping(ME, 1, 0, 1, []))


def test_a_tag_is_for_one_key_and_one_receiver() -> None:
    old, new = b"k" * 16, b"n" * 64
    other = pack_address("127.0.0.1:7947")
    data = DatagramAuthenticator([old]).sign(ME, GOOD)
    assert (
        DatagramAuthenticator([old]).verify(ME, data)
        == GOOD
        == DatagramAuthenticator([new, old]).verify(ME, data)
    )
    assert (
        DatagramAuthenticator([new]).verify(ME, data) is None
        and DatagramAuthenticator([old]).verify(other, data) is None
    )
    for n in range(len(data)):
        assert DatagramAuthenticator([old]).verify(ME, data[:n]) is None
        assert (
            DatagramAuthenticator([old]).verify(ME, data[:n] + bytes((data[n] ^ 1,)) + data[n + 1 :]) is None
        )
    for keys in ([b"k" * 15], [b"k" * 65], [old] * 5):
        with pytest.raises(ValueError):
            DatagramAuthenticator(keys)
