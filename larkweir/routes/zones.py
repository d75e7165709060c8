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

FULL_ABOVE, ROOM_BELOW = (
    0.9,
    0.75,
)  # of what a zone can carry: above the one it is full, below the other there is room
MAX_STEP = 0.05  # of the traffic, that moves at a time at the most
TILT = 0.25  # of a zone's part of the rest, for a fullness that differs by all it can carry
MIN_SHARE = 0.01  # of the traffic, that is worth moving


@dataclass(slots=True)
class Spill:
    """The part of one pool's requests that goes to each zone, as one balancer of `home` has it."""

    home: str
    home_share: float = 1.0
    remote_shares: dict[str, float] = field(default_factory=dict)  # of the rest, by zone

    def update(self, loads: Mapping[str, float], capacities: Mapping[str, float]) -> dict[str, float]:
        """The parts by zone, from what each carries now and what it can carry: any unit, the same for both. A zone
        that can carry nothing gets nothing; called as often as an effect takes to be seen.
        """
        usable = {zone: max(0.0, value) for zone, value in capacities.items()}
        if usable.get(self.home, 0.0) <= 0.0:
            self.home_share = 0.0
        else:
            fullness = loads.get(self.home, 0.0) / usable[self.home]
            others = sum(value for zone, value in usable.items() if zone != self.home)
            load = sum(loads.get(zone, 0.0) for zone in usable if zone != self.home)
            room = others > 0.0 and load / others < FULL_ABOVE
            if fullness > FULL_ABOVE and room:
                # By as much as is too much, and no further than a step.
                over = 1.0 - FULL_ABOVE / fullness
                self.home_share = max(
                    0.0, self.home_share - min(MAX_STEP, 0.5 * over * max(self.home_share, MIN_SHARE))
                )
            elif fullness < ROOM_BELOW and self.home_share < 1.0:
                under = (ROOM_BELOW - fullness) / max(fullness, MIN_SHARE)
                self.home_share = min(
                    1.0, self.home_share + min(MAX_STEP, 0.5 * under * max(self.home_share, MIN_SHARE))
                )
        return self.parts(loads, usable)

    def parts(self, loads: Mapping[str, float], usable: Mapping[str, float]) -> dict[str, float]:
        """What does not stay is dealt out: at first by the room that each other zone has left, then moved towards the
        less full ones, a little at a time. By the room alone all balancers follow what they did themselves a moment
        ago, and two zones take turns to be full.
        """
        found = {zone: 0.0 for zone in usable}
        others = {zone: value for zone, value in usable.items() if zone != self.home and value > 0.0}
        weights = {zone: weight for zone, weight in self.remote_shares.items() if zone in others}
        if len(weights) < len(others):  # one is new: by room, where there is any, else by size
            room = {
                zone: max(0.0, value * FULL_ABOVE - loads.get(zone, 0.0)) for zone, value in others.items()
            }
            weights = room if sum(room.values()) > 0.0 else dict(others)
        else:
            fullness = {zone: loads.get(zone, 0.0) / value for zone, value in others.items()}
            mean = sum(fullness.values()) / max(1, len(fullness))
            for zone in weights:
                tilt = min(1.0, max(-1.0, mean - fullness[zone]))
                weights[zone] = max(weights[zone], MIN_SHARE) * (1.0 + TILT * tilt)
        total = sum(weights.values())
        self.remote_shares = {zone: weight / total for zone, weight in weights.items()} if total > 0.0 else {}
        if usable.get(self.home, 0.0) > 0.0:
            found[self.home] = self.home_share if self.remote_shares else 1.0
        for zone, weight in self.remote_shares.items():
            found[zone] = (1.0 - self.home_share) * weight
        return found
