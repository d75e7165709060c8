"""Real processes with the duty "probers": an upstream that loses all calls is probed by one for all, and comes back."""

from __future__ import annotations

import pytest
from larkweir_balancing.shared_health import RECHECK_INTERVAL_MS

from larkweir.coordination.duties.timing import OWNER_TIMEOUT_MS
from standins.checkers import Ran, Taken, broken
from standins.fleet import SETTINGS
from standins.peers import Incoming, Talk, ok
from standins.together import Together
from tests.upstreams.test_attempts import run

OWNERS = {"lease_ms": 500.0, "duties": ["probers"]}


def test_an_upstream_that_all_have_left_out_is_probed_by_one_and_all_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(SETTINGS["PolicyLimits"], "MayProbe", True)

    async def play() -> None:
        peers = {"probe_ms": 100.0, "ack_ms": 40.0}
        async with Together(4, 3, peers=peers, owners=OWNERS, pause_s=0.02) as rig:
            await rig.until(lambda: rig.owner("probers")[1], "an owner")
            sick = rig._nodos[1]
            serve, well = sick.server.behave, False
            probes: list[float] = []

            async def behave(request: Incoming, talk: Talk) -> None:
                if request.target == "/health":
                    probes.append(rig.now_ms())
                if not well:
                    talk.reset()
                elif request.target == "/health":
                    await talk.send(ok())
                else:
                    await serve(request, talk)

            sick.server.behave = behave
            begun = rig.now_ms()
            at = len(rig.history)

            def all_told() -> bool:
                found = [event for event in rig.history[at:] if isinstance(event, Taken)]
                return {event.copy for event in found if event.duty == "probers"} == set(rig.copies)

            await rig.until(all_told, "the word of it at all copies")
            await rig.until(lambda: len(probes) >= 3, "three probes")
            # One for all, and one more at each change of turn or of owner; alone each copy would have as many.
            assert len(probes) <= 2 + 1.5 * (probes[-1] - begun) / RECHECK_INTERVAL_MS
            well = True
            healed = len(rig.history)

            def all_back() -> bool:
                ran = [event for event in rig.history[healed:] if isinstance(event, Ran)]
                return {event.trace.partition("-")[0] for event in ran if event.where == sick.name} == set(
                    rig.copies
                )

            await rig.until(all_back, "calls of all copies there")
            await rig.quiet()
            assert broken(rig.history) == []
            assert (
                OWNER_TIMEOUT_MS > RECHECK_INTERVAL_MS
            )  # an owner's silence is seen before a second look is missed

    run(play())
