"""Data of a simulated fleet: requests, routers, the replicated roll-outs, and the result of a roll-out."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState

STEP_S = 0.1
PACE_FRACTION = 0.2  # fraction of a stream after which its pace is known


@dataclass(eq=False)
class Request:
    """A request in flight."""

    router: Router
    route: str
    upstream: str
    is_target: bool
    first_byte_ms: float
    total_ms: float
    end_step: int
    has_failed: bool
    is_bad: bool  # because of the version
    sent_step: int
    is_first_byte_counted: bool = False
    is_pace_counted: bool = False

    @property
    def first_byte_step(self) -> int:
        return self.sent_step + math.ceil(self.first_byte_ms / 1000.0 / STEP_S)

    @property
    def pace_step(self) -> int:
        """The step at which the first events have arrived and the pace of the stream is counted."""
        pace_ms = self.first_byte_ms + PACE_FRACTION * (self.total_ms - self.first_byte_ms)
        return self.sent_step + math.ceil(pace_ms / 1000.0 / STEP_S)


@dataclass(eq=False)
class Router:
    """A router with its current weight of the target and its samples."""

    name: str
    restarts: int = 0
    weight: float = 0.0
    is_connected: bool = True
    report: RolloutReport = field(default_factory=lambda: RolloutReport(""))

    @property
    def incarnation(self) -> str:
        return f"{self.name}/{self.restarts}"


@dataclass
class Result:
    """The result of a roll-out."""

    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    end_s: float = math.inf
    fiftieth_bad_answer_s: float = math.inf  # time of the 50th bad answer
    first_bad_answer_s: float = math.inf
    last_target_send_s: float = 0.0  # by a connected router
    bad_answers: int = 0
    target_sends: int = 0
    sends: float = 0.0
    aborted_requests: int = 0  # of connected routers, in flight at the old upstreams when these were stopped
    is_order_replaced: bool = False


@dataclass
class ReplicatedState:
    """The replicated roll-outs, shared by the simulations of several services."""

    rollouts: tuple[Rollout, ...] = ()
