"""The timing of leases, and the phases of a process in relation to a duty. Pure logic."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in milliseconds. An owner renews its lease twice per `lease_ms`. A candidate that has received no update
    for `quiet_ms` reads the register, and then again every `check_ms`.
    """

    lease_ms: float = 3000.0
    step_ms: float = 100.0  # interval between two steps of a duty that is not woken
    wake_ms: float = 50.0  # minimum interval between two steps, however often the duty is woken
    min_tenure_leases: float = 10.0  # a duty is held this long before it may move to its preferred owner

    @property
    def renew_ms(self) -> float:
        """The interval between two renewals of a lease."""
        return self.lease_ms / 2

    @property
    def quiet_ms(self) -> float:
        """The time without an update from the owner after which a candidate reads the register."""
        return self.lease_ms * 7 / 12

    @property
    def check_ms(self) -> float:
        """The interval between two reads by a candidate."""
        return self.lease_ms / 6

    @property
    def max_lag_ms(self) -> float:
        """The event loop delay above which an owner releases its duties."""
        return self.lease_ms / 4

    @property
    def min_tenure_ms(self) -> float:
        """The time that a duty is held before it may move, and that an owner yields to other candidates after a lag."""
        return self.lease_ms * self.min_tenure_leases


class Phase(Enum):
    """The phase of a process in relation to a duty. The values appear in STATUS."""

    WATCHING = "watching"
    ACQUIRING = "taking"
    OWNER = "owner"
    UNSURE = "unsure"  # owner, and the outcome of its last write is unknown
    RELEASING = "giving"
