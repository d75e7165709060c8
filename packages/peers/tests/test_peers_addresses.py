"""Addresses have one canonical text form and six bytes; everything else is rejected."""

from __future__ import annotations

import pytest
from larkweir_peers.addresses import is_loopback, pack_address, unpack_address

ME = pack_address("127.0.0.1:7946")


def test_an_address_has_one_text_form_and_six_bytes() -> None:
    assert unpack_address(pack_address("10.3.0.1:7946")) == "10.3.0.1:7946" and len(ME) == 6
    assert is_loopback("127.9.0.1:1") and not is_loopback("12.7.0.1:1")
    bad = [
        "",
        "10.3.0.1",
        "10.3.0.1:0",
        "10.3.0.1:65536",
        "10.3.0.01:1",
        "10.3.0.256:1",
        "a.b.c.d:1",
        "::1:1",
    ]
    for name in [*bad, "10.3.0.1:٣", "10.3.0.1:+1", "10.3.0.1: 1"]:
        with pytest.raises(ValueError, match="IPv4"):
            pack_address(name)
