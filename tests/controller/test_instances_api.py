"""Decoding of heartbeats of upstreams."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.cluster.http_server import Request, Response
from larkweir.controller.instances_api import MAX_ID_CHARS, MAX_VERSION_CHARS, Heartbeat, _instance_id

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


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/instances/i-7f3a91c2", "i-7f3a91c2"),
        ("/instances/lima%20norte%2F1", "lima norte/1"),
        ("/instances/%E1%88%B0", "ሰ"),
        ("/instances/i-1?trace=1", "i-1"),
        ("/instances/100%", "100%"),
    ],
)
def test_an_id_is_decoded_from_its_path(target: str, expected: str) -> None:
    # Guards against upstreams that are asked for by another id than their own, and answer 421.
    assert _instance_id(Request("PUT", target, {}, b"")) == expected


@pytest.mark.parametrize(
    "encoded", ["a%0D%0Ab", "%00", "%20a", "a%09", "%FF", "%C3", "a" * (MAX_ID_CHARS + 1), "?x"]
)
def test_an_id_that_no_header_can_hold_is_refused(encoded: str) -> None:
    # Guards against acknowledging an upstream to which no request can be sent.
    response = _instance_id(Request("PUT", f"/instances/{encoded}", {}, b""))
    assert isinstance(response, Response)
    assert response.status == 400
    assert b"id of the instance" in response.body
