"""Decides how much of a zone's traffic spills to other zones, by their capacity, so that the traffic of many balancers
together converges.

An all-or-nothing rule oscillates: all traffic leaves a full zone and then overloads another one. Here the home zone's
share changes in small steps: it falls while the home zone is full and others have room, and rises while the home zone
has room. Between the two thresholds nothing changes. All balancers see about the same utilization and therefore move
together, so each step is small enough for its effect to be seen before the next one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

FULL_ABOVE, ROOM_BELOW = 0.9, 0.75  # utilization above which a zone is full, and below which it has room
MAX_STEP = 0.05  # largest change of the home share per update, as a fraction of the traffic
TILT = 0.25  # relative change of a remote zone's weight per update if its utilization is 1.0 off the mean
MIN_SHARE = 0.01  # lower bound of shares, weights and utilization in a step, so that it can start from 0


@dataclass(slots=True)
class Spill:
    """The share of one pool's requests that a balancer in the zone `home` sends to each zone."""

    home: str
    home_share: float = 1.0
    # By remote zone: its share of the traffic that leaves the home zone.
    remote_shares: dict[str, float] = field(default_factory=dict)

    def update(self, loads: Mapping[str, float], capacities: Mapping[str, float]) -> dict[str, float]:
        """Update and return the share of each zone. To be called at intervals in which the effect of the previous
        update becomes visible. A zone without capacity gets no traffic.

        Args:
            loads: the current load by zone.
            capacities: the capacity by zone, in the same unit as the load.
        """
        usable = {zone: max(0.0, value) for zone, value in capacities.items()}
        if usable.get(self.home, 0.0) <= 0.0:
            self.home_share = 0.0
        else:
            utilization = loads.get(self.home, 0.0) / usable[self.home]
            others = sum(value for zone, value in usable.items() if zone != self.home)
            load = sum(loads.get(zone, 0.0) for zone in usable if zone != self.home)
            room = others > 0.0 and load / others < FULL_ABOVE
            if utilization > FULL_ABOVE and room:
                # By half of the excess, at most by one step.
                over = 1.0 - FULL_ABOVE / utilization
                self.home_share = max(
                    0.0, self.home_share - min(MAX_STEP, 0.5 * over * max(self.home_share, MIN_SHARE))
                )
            elif utilization < ROOM_BELOW and self.home_share < 1.0:
                under = (ROOM_BELOW - utilization) / max(utilization, MIN_SHARE)
                self.home_share = min(
                    1.0, self.home_share + min(MAX_STEP, 0.5 * under * max(self.home_share, MIN_SHARE))
                )
        return self.parts(loads, usable)

    def parts(self, loads: Mapping[str, float], usable: Mapping[str, float]) -> dict[str, float]:
        """Divide the traffic that leaves the home zone: initially by the free capacity of each remote zone, then in
        small steps towards the less utilized ones. By free capacity alone, all balancers would react to their own last
        move, and two zones would be full in turns.
        """
        found = {zone: 0.0 for zone in usable}
        others = {zone: value for zone, value in usable.items() if zone != self.home and value > 0.0}
        weights = {zone: weight for zone, weight in self.remote_shares.items() if zone in others}
        if len(weights) < len(others):  # a zone is new: by free capacity, or by capacity if none is free
            room = {
                zone: max(0.0, value * FULL_ABOVE - loads.get(zone, 0.0)) for zone, value in others.items()
            }
            weights = room if sum(room.values()) > 0.0 else dict(others)
        else:
            utilization = {zone: loads.get(zone, 0.0) / value for zone, value in others.items()}
            mean = sum(utilization.values()) / max(1, len(utilization))
            for zone in weights:
                tilt = min(1.0, max(-1.0, mean - utilization[zone]))
                weights[zone] = max(weights[zone], MIN_SHARE) * (1.0 + TILT * tilt)
        total = sum(weights.values())
        self.remote_shares = {zone: weight / total for zone, weight in weights.items()} if total > 0.0 else {}
        if usable.get(self.home, 0.0) > 0.0:
            found[self.home] = self.home_share if self.remote_shares else 1.0
        for zone, weight in self.remote_shares.items():
            found[zone] = (1.0 - self.home_share) * weight
        return found
