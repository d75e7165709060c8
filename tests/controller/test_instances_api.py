"""Decoding of heartbeats of upstreams."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.controller.instances_api import MAX_VERSION_CHARS, Heartbeat

BODY = b'{"backend":"s","address":"10.0.0.9:80","zone":"z1","sequence":5%s}'


def decode(more: bytes = b"") -> Heartbeat:
    found: Heartbeat = msgspec.json.decode(BODY % more, type=Heartbeat)
    return found


def test_the_software_version_is_recorded() -> None:
    assert decode(b',"generation":"v2"').upstream("u").version == "v2"


@pytest.mark.parametrize("more", [b"", b',"generation":""'])
def test_the_record_of_an_upstream_without_a_version_has_no_version_field(more: bytes) -> None:
    upstream = decode(more).upstream("u")
    assert upstream.version == ""
    assert b"version" not in msgspec.json.encode(upstream)


@pytest.mark.parametrize(
    "more", [b',"generation":7', b',"generation":"%s"' % (b"v" * (MAX_VERSION_CHARS + 1))]
)
def test_a_version_that_is_not_a_string_or_too_long_is_rejected(more: bytes) -> None:
    with pytest.raises(msgspec.ValidationError, match="generation"):
        decode(more)
