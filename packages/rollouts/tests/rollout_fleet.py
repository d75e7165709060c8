"""What a simulated fleet consists of: requests, routers, the replicated roll-outs; and what comes of a roll-out."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState

STEP_S = 0.1
PACE_FRACTION = 0.2  # of a stream, after which its pace is known


@dataclass(eq=False)
class Request:
    """One request on its way."""

    router: Router
    route: str
    upstream: str
    is_target: bool
    first_byte_ms: float
    total_ms: float
    end_step: int
    has_failed: bool
    is_bad: bool  # by the version's fault
    sent_step: int
    is_first_byte_counted: bool = False
    is_pace_counted: bool = False

    @property
    def first_byte_step(self) -> int:
        return self.sent_step + math.ceil(self.first_byte_ms / 1000.0 / STEP_S)

    @property
    def pace_step(self) -> int:
        """When its first events have come; streams report their pace by then."""
        pace_ms = self.first_byte_ms + PACE_FRACTION * (self.total_ms - self.first_byte_ms)
        return self.sent_step + math.ceil(pace_ms / 1000.0 / STEP_S)


@dataclass(eq=False)
class Router:
    """One router: what it knows of the roll-out, and what it has counted of it."""

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
    """What came of a roll-out."""

    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    end_s: float = math.inf
    fiftieth_bad_answer_s: float = math.inf  # the 50th bad answer
    first_bad_answer_s: float = math.inf
    last_target_send_s: float = 0.0  # by a router in touch
    bad_answers: int = 0
    target_sends: int = 0
    sends: float = 0.0
    aborted_requests: int = 0  # of routers in touch, under way at the old upstreams when they were stopped
    is_order_replaced: bool = False


@dataclass
class ReplicatedState:
    """The replicated roll-outs, which simulations of several services share."""

    rollouts: tuple[Rollout, ...] = ()
