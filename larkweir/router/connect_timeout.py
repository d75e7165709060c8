"""The time-out for new connections to upstreams, adapted to the observed connect times."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_balancing.decision_options import OPTIONS

MAX_CONNECT_TIMEOUT_S = 0.4  # a reachable upstream accepts within milliseconds
MIN_CONNECT_TIMEOUT_S = 0.1  # on a slow link the SYN-ACK queues behind other traffic
DEVIATION_FACTOR = 4.0
DEVIATION_DIVISOR = 4.0
MEAN_DIVISOR = 8.0


@dataclass(slots=True)
class ConnectTimeout:
    """A time-out from the smoothed mean and deviation of connect times, like the TCP timer of RFC 6298 (2)."""

    seconds: float = MAX_CONNECT_TIMEOUT_S
    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Record how long a successful connect took, in seconds."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = elapsed_s, elapsed_s / 2.0
        else:
            self._deviation_s += (abs(elapsed_s - self._mean_s) - self._deviation_s) / DEVIATION_DIVISOR
            self._mean_s += (elapsed_s - self._mean_s) / MEAN_DIVISOR
        if not OPTIONS.adaptive_connect_timeout:
            return
        timeout_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.seconds = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))
