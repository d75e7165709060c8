"""Numbers in received messages must be within bounds; the decoding error names the field."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.cluster.messages import Message

TOO_LARGE = "123456789012345678901234"
UPSTREAM = '{"id":"i","service":"s","address":"a:1","zone":"z","slots":1,"sequence":1}'


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"type":"pull","config":N}', "config"),
        ('{"type":"pull","vector":{"o":N}}', "vector"),
        ('{"type":"pull","usage":{"t":N}}', "usage"),
        ('{"type":"pull","sent_ms":N}', "sent_ms"),
        ('{"type":"pull","waiting":{"e":N}}', "waiting"),
        ('{"type":"pull","endings":{"u":[N,1]}}', "endings"),
        ('{"type":"pull","endings":{"u":[1,N]}}', "endings"),
        ('{"type":"waiting","tokens":{"e":N}}', "tokens"),
        ('{"type":"delta","routers":N}', "routers"),
        ('{"type":"delta","quotas":{"t":[0,N]}}', "quotas"),
        ('{"type":"delta","vector":{"o":N}}', "vector"),
        ('{"type":"delta","records":[[UPSTREAM,"o",N]]}', "records"),
        ('{"type":"delta","config":{"sequence":N,"base":-1,"body":{}}}', "config"),
        ('{"type":"heard","sequences":{"u":N}}', "sequences"),
        ('{"type":"forward","ticket":N,"command":null}', "ticket"),
        ('{"type":"forwarded","ticket":1,"status":N}', "status"),
        ('{"type":"place","service":"s","head":"h","tokens":N}', "tokens"),
        ('{"type":"replication","message":{"type":"recover","nonce":N}}', "message.nonce"),
        ('{"type":"replication","message":{"type":"prepare","epoch":[N,"a"]}}', "message.epoch"),
        ('{"type":"replication","message":{"type":"accepted","epoch":[1,"a"],"sequence":N}}', "sequence"),
    ],
)
def test_an_out_of_range_number_is_rejected(text: str, place: str) -> None:
    text = text.replace("UPSTREAM", UPSTREAM)
    msgspec.json.decode(text.replace("N", "1"), type=Message)
    for number in (TOO_LARGE, "-2", "1e400"):
        with pytest.raises(msgspec.DecodeError) as caught:
            msgspec.json.decode(text.replace("N", number), type=Message)
        if isinstance(caught.value, msgspec.ValidationError):
            assert place in str(caught.value)
