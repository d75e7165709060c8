"""How much of a zone's traffic crosses to others, by what each can carry, so that the sum over many balancers
comes to rest.

All or nothing sloshes: a zone that is full sends everybody elsewhere, which is then full. Here the part that stays at
home follows how full home is, by a little at a time: it falls while home is full and others have room, and rises
while home has room. Between the two lies a band in which nothing moves. Every balancer sees about the same fullness,
so that all move together: the step is bounded by the time in which an effect can be seen.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

FULL, ROOM = 0.9, 0.75  # of what a zone can carry: above the one it is full, below the other there is room
STEP = 0.05  # of the traffic, that moves at a time at the most
TILT = 0.25  # of a zone's part of the rest, for a fullness that differs by all it can carry
LEAST = 0.01  # of the traffic, that is worth moving


@dataclass(slots=True)
class Spill:
    """The part of one pool's requests that goes to each zone, as one balancer of `home` has it."""

    home: str
    stays: float = 1.0
    dealt: dict[str, float] = field(default_factory=dict)  # of the rest, by zone

    def look(self, carried: Mapping[str, float], carries: Mapping[str, float]) -> dict[str, float]:
        """The parts by zone, from what each carries now and what it can carry: any unit, the same for both. A zone
        that can carry nothing gets nothing; called as often as an effect takes to be seen.
        """
        can = {zone: max(0.0, value) for zone, value in carries.items()}
        if can.get(self.home, 0.0) <= 0.0:
            self.stays = 0.0
        else:
            fullness = carried.get(self.home, 0.0) / can[self.home]
            others = sum(value for zone, value in can.items() if zone != self.home)
            load = sum(carried.get(zone, 0.0) for zone in can if zone != self.home)
            room = others > 0.0 and load / others < FULL
            if fullness > FULL and room:
                # By as much as is too much, and no further than a step.
                over = 1.0 - FULL / fullness
                self.stays = max(0.0, self.stays - min(STEP, 0.5 * over * max(self.stays, LEAST)))
            elif fullness < ROOM and self.stays < 1.0:
                under = (ROOM - fullness) / max(fullness, LEAST)
                self.stays = min(1.0, self.stays + min(STEP, 0.5 * under * max(self.stays, LEAST)))
        return self.parts(carried, can)

    def parts(self, carried: Mapping[str, float], can: Mapping[str, float]) -> dict[str, float]:
        """What does not stay is dealt out: at first by the room that each other zone has left, then moved towards the
        less full ones, a little at a time. By the room alone all balancers follow what they did themselves a moment
        ago, and two zones take turns to be full.
        """
        found = {zone: 0.0 for zone in can}
        others = {zone: value for zone, value in can.items() if zone != self.home and value > 0.0}
        known = {zone: weight for zone, weight in self.dealt.items() if zone in others}
        if len(known) < len(others):  # one is new: by room, where there is any, else by size
            room = {zone: max(0.0, value * FULL - carried.get(zone, 0.0)) for zone, value in others.items()}
            known = room if sum(room.values()) > 0.0 else dict(others)
        else:
            fullness = {zone: carried.get(zone, 0.0) / value for zone, value in others.items()}
            mean = sum(fullness.values()) / max(1, len(fullness))
            for zone in known:
                tilt = min(1.0, max(-1.0, mean - fullness[zone]))
                known[zone] = max(known[zone], LEAST) * (1.0 + TILT * tilt)
        whole = sum(known.values())
        self.dealt = {zone: weight / whole for zone, weight in known.items()} if whole > 0.0 else {}
        if can.get(self.home, 0.0) > 0.0:
            found[self.home] = self.stays if self.dealt else 1.0
        for zone, weight in self.dealt.items():
            found[zone] = (1.0 - self.stays) * weight
        return found
