"""How long a new connection to an upstream may take, learned from those that were made."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_balancing.decision_options import OPTIONS

MAX_CONNECT_TIMEOUT_S = 0.4  # an upstream that is there accepts within milliseconds
MIN_CONNECT_TIMEOUT_S = 0.1  # on a slow link its SYN-ACK waits behind what the link already carries
DEVIATION_FACTOR = 4.0
DEVIATION_DIVISOR = 4.0
MEAN_DIVISOR = 8.0


@dataclass(slots=True)
class ConnectTimeout:
    """Smoothed mean and deviation of the times to connect, as RFC 6298 (2) sets a retransmission timer."""

    seconds: float = MAX_CONNECT_TIMEOUT_S
    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Take in the time, in seconds, that a successful connect took."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = elapsed_s, elapsed_s / 2.0
        else:
            self._deviation_s += (abs(elapsed_s - self._mean_s) - self._deviation_s) / DEVIATION_DIVISOR
            self._mean_s += (elapsed_s - self._mean_s) / MEAN_DIVISOR
        if not OPTIONS.adaptive_connect_timeout:
            return
        timeout_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.seconds = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))
