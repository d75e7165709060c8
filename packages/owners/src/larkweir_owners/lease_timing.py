"""The times of a lease, and the phases of its holder. Pure logic."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in milliseconds. An owner renews its lease twice in `lease_ms`. A candidate reads the register once nothing
    has arrived for `quiet_ms`, then every `check_ms`.
    """

    lease_ms: float = 3000.0
    step_ms: float = 100.0  # between two steps of a duty that nobody wakes
    wake_ms: float = 50.0  # between two steps at the least, however often the duty is woken
    min_tenure_leases: float = (
        10.0  # leases for which a duty is held before it may move to its preferred owner
    )

    @property
    def renew_ms(self) -> float:
        """From one renewal to the next."""
        return self.lease_ms / 2

    @property
    def quiet_ms(self) -> float:
        """Without an update of the owner, after which a candidate reads the register."""
        return self.lease_ms * 7 / 12

    @property
    def check_ms(self) -> float:
        """From one read of a candidate to the next."""
        return self.lease_ms / 6

    @property
    def max_lag_ms(self) -> float:
        """An owner whose event loop is later than this gives its duties up."""
        return self.lease_ms / 4

    @property
    def min_tenure_ms(self) -> float:
        """For so long a duty is held before it may move, and an owner that lagged lets others go first."""
        return self.lease_ms * self.min_tenure_leases


class Phase(Enum):
    """What a process does with a duty. The values are in STATUS."""

    WATCHING = "watching"
    ACQUIRING = "taking"
    OWNER = "owner"
    UNSURE = "unsure"  # owner, and it is not known whether the last write counted
    RELEASING = "giving"
