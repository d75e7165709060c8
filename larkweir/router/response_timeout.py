"""The time-out for a controller's response to a message about a request."""

from __future__ import annotations

# The response may queue behind the request's body on this router's network link. The time-out is extended by this
# multiple of the time that the link needs for the body.
BODY_TRANSFER_FACTOR = 2.0


class ResponseTimeout:
    """The time-out of one kind of message."""

    def __init__(self, base_s: float, link_mbps: float) -> None:
        """Create a time-out.

        Args:
            base_s: the time-out for a request without a body, in seconds.
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self._base_s = base_s
        self._link_bytes_per_s = link_mbps * 1e6 / 8.0

    def seconds(self, body_bytes: int) -> float:
        """The time-out for a request with a body of `body_bytes`, in seconds."""
        return self._base_s + BODY_TRANSFER_FACTOR * body_bytes / self._link_bytes_per_s
