"""The replicated state of a roll-out: an order to move a service's traffic to the upstreams of a version."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

MAX_DURATION_S = 86_400.0  # a day
MAX_UNIX_MS = 1e15

Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class RolloutState(StrEnum):
    """How far a roll-out is, as operators read it. Only a running one changes."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(msgspec.Struct, frozen=True):
    """The latest roll-out of one service.

    Attributes:
        service: whose traffic moves.
        target_version: that of the upstreams to which it moves.
        duration_s: from the order to its deadline.
        ordered_unix_ms: time of day of the order, at the controller that received it.
        state: running until it is completed or rolled back.
        target_weight: share of new requests that go to the target version while it is running.
        reason: why it was completed or rolled back, in one line.
        withdrawn_versions: those that were rolled back before this order: none of their upstreams gets a request.
    """

    service: str
    target_version: str
    duration_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)]
    ordered_unix_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNIX_MS)]
    state: RolloutState = RolloutState.RUNNING
    target_weight: Weight = 0.0
    reason: str = ""
    withdrawn_versions: tuple[str, ...] = ()

    @property
    def is_running(self) -> bool:
        """Whether it is neither completed nor rolled back."""
        return self.state is RolloutState.RUNNING

    @property
    def order_id(self) -> str:
        """Tells this order from every other of its service."""
        return f"{self.target_version}/{self.ordered_unix_ms:.0f}"

    @property
    def effective_weight(self) -> float:
        """The share of new requests that go to the target version, in whatever state."""
        match self.state:
            case RolloutState.RUNNING:
                return self.target_weight
            case RolloutState.COMPLETED:
                return 1.0
            case RolloutState.ROLLED_BACK:
                return 0.0
