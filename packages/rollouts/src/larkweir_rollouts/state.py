"""The replicated state of a roll-out, which moves a service's traffic to the upstreams of one version."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

MAX_DURATION_S = 86_400.0  # a day
MAX_UNIX_MS = 1e15

Versions = tuple[str, ...] | msgspec.UnsetType
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class RolloutState(StrEnum):
    """State of a roll-out as shown to operators. Completed and rolled-back roll-outs never change."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(msgspec.Struct, frozen=True):
    """The latest roll-out of one service.

    Attributes:
        service: the service whose traffic moves.
        target_version: the version of the upstreams that the traffic moves to.
        duration_s: time from the order to its deadline.
        ordered_unix_ms: wall-clock time of the order at the controller that received it.
        state: running until the roll-out is completed or rolled back.
        target_weight: share of new requests that go to the target version while the roll-out is running.
        reason: one line that explains the latest step, for example why the roll-out was rolled back.
        withdrawn_versions: versions that were rolled back or replaced before this order. Their upstreams get no
            requests.
        other_versions: versions of the service's other upstreams during the roll-out. A completion replaces them.
            Unset if no controller has reported them.
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
        """Whether the roll-out is neither completed nor rolled back."""
        return self.state is RolloutState.RUNNING

    @property
    def order_id(self) -> str:
        """An identifier that is unique among the orders of the service."""
        return f"{self.target_version}/{self.ordered_unix_ms:.0f}"

    def is_target(self, version: str) -> bool:
        """Whether upstreams of this version belong to the target.

        After completion, versions that have appeared since without an order also count as the target.
        """
        return version == self.target_version or self.is_new_since_completion(version)

    def is_new_since_completion(self, version: str) -> bool:
        """Whether this version has appeared since the completion without an order for it."""
        if self.state is not RolloutState.COMPLETED or isinstance(self.other_versions, msgspec.UnsetType):
            return False
        return version not in (self.target_version, *self.other_versions, *self.withdrawn_versions)

    def is_other(self, version: str) -> bool:
        """Whether upstreams of this version are neither the target nor withdrawn."""
        return not self.is_target(version) and version not in self.withdrawn_versions

    @property
    def effective_weight(self) -> float:
        """The share of new requests that go to the target version in the current state."""
        match self.state:
            case RolloutState.RUNNING:
                return self.target_weight
            case RolloutState.COMPLETED:
                return 1.0
            case RolloutState.ROLLED_BACK:
                return 0.0
