"""The replicated state of a roll-out: an order to move a service's traffic to the upstreams of a version."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

MAX_DURATION_S = 86_400.0  # a day
MAX_UNIX_MS = 1e15

Versions = tuple[str, ...] | msgspec.UnsetType
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
        other_versions: those that the service's other upstreams had while it was running, which a completion replaces;
            unset where no controller has said so.
    """

    service: str
    target_version: str
    duration_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)]
    ordered_unix_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNIX_MS)]
    state: RolloutState = RolloutState.RUNNING
    target_weight: Weight = 0.0
    reason: str = ""
    withdrawn_versions: tuple[str, ...] = ()
    other_versions: Versions = msgspec.UNSET

    @property
    def is_running(self) -> bool:
        """Whether it is neither completed nor rolled back."""
        return self.state is RolloutState.RUNNING

    @property
    def order_id(self) -> str:
        """Tells this order from every other of its service."""
        return f"{self.target_version}/{self.ordered_unix_ms:.0f}"

    def is_target(self, version: str) -> bool:
        """Whether upstreams of that version are the target; once completed, all that came without an order since."""
        return version == self.target_version or self.is_new_since_completion(version)

    def is_new_since_completion(self, version: str) -> bool:
        """Whether upstreams of that version have come since the completion, and no order has named it."""
        if self.state is not RolloutState.COMPLETED or isinstance(self.other_versions, msgspec.UnsetType):
            return False
        return version not in (self.target_version, *self.other_versions, *self.withdrawn_versions)

    def is_other(self, version: str) -> bool:
        """Whether upstreams of that version are the others: neither the target nor withdrawn."""
        return not self.is_target(version) and version not in self.withdrawn_versions

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
