"""How long a router waits for a controller's response to a message about a request."""

from __future__ import annotations

# So many times what the request's body takes on this router's link, behind which the response may come.
BODY_TRANSFER_FACTOR = 2.0


class ResponseTimeout:
    """The time-out of one kind of message."""

    def __init__(self, base_s: float, link_mbps: float) -> None:
        """Create a time-out.

        Args:
            base_s: within which a controller responds, in seconds.
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self._base_s = base_s
        self._link_bytes_per_s = link_mbps * 1e6 / 8.0

    def seconds(self, body_bytes: int) -> float:
        """For a request with a body of that size."""
        return self._base_s + BODY_TRANSFER_FACTOR * body_bytes / self._link_bytes_per_s
