"""Each further reporter shortens the timeout of a suspicion."""

from __future__ import annotations

import pytest
from larkweir_peers.addresses import pack_address
from larkweir_peers.messages import (
    MemberState,
    MemberUpdate,
)
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.suspicion import Suspicion
from rig_peers import A, B, C, D, new_process

S = MemberState


def test_each_further_reporter_shortens_a_suspicion() -> None:
    """The timeout falls from the maximum to the minimum on a logarithmic scale (Lifeguard section IV-B)."""
    by = [bytes((n,)) for n in range(4)]
    due = [Suspicion(100.0, 1_000.0, 6_000.0, 3, dict.fromkeys(by[: n + 1])).due_ms for n in range(4)]
    assert due[0] == 6_100.0 and due[2] == pytest.approx(2_137.6, abs=0.1) and due[3] == 1_100.0
    a = new_process(A, config=ProtocolConfig(suspicion_confirmations=2))
    least, most = a.config.suspicion_timeouts_ms(4)
    assert least == 2_000.0 and most == 12_000.0
    for source, due_ms in ((B, most), (C, least + (most - least) * 0.369), (A, least)):
        for _ in range(2):
            a.membership.on_update(MemberUpdate(pack_address(D), S.SUSPECT, 1, pack_address(source)), 0.0)
        assert a.membership.due_ms == pytest.approx(due_ms, abs=1.0)
    assert a.membership._updates._last_sequence == 3  # queued once per reporter
    a.membership.expire(least - 1.0)
    assert a.membership.members[D].state is S.SUSPECT
    a.membership.expire(least)
    assert a.membership.members[D].state is S.DEAD
