"""The table of requests that are open or have attempts in flight, and the ids that no new request may use."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from larkweir.core.active_request import ActiveRequest
from larkweir.core.clock import Clock
from larkweir.core.extensions import Extensions
from larkweir.core.recent_ids import RecentIds


class RequestTable:
    """Requests by number, from their arrival until they are finished and no attempt is in flight.

    Every request has a new id, so a request with a known id is a copy and must not run, even shortly after the answer.
    The table therefore stores the ids of open requests and of requests that ended recently.
    """

    def __init__(self, clock: Clock, extensions: Extensions) -> None:
        self._clock = clock
        self._extensions = extensions
        self._requests: dict[int, ActiveRequest] = {}
        self.open_ids: set[bytes] = set()
        self.recent_ids = RecentIds()
        self.next_number = 1  # the number of the next request; numbers are not reused in a process
        # Returns the request with a number, or None if it is finished and has no attempt in flight.
        self.get: Callable[[int], ActiveRequest | None] = self._requests.get

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(self._requests.values())

    def add(self, request: ActiveRequest) -> None:
        """Add a request. Its id must not be open."""
        self._requests[request.number] = request
        self.open_ids.add(request.trace)

    def remove_if_done(self, request: ActiveRequest) -> None:
        """Remove the request if it is finished and has no attempt in flight. Its id is retained for a while."""
        if (
            request.finished
            and not request.in_flight
            and self._requests.pop(request.number, None) is not None
        ):
            self.open_ids.discard(request.trace)
            durable_state = self._extensions.durable_state
            if request.run_once and durable_state is not None and request.attempts:
                durable_state.ended(request.trace)
            self.recent_ids.add(request.trace, self._clock.now_ms())

    def is_known(self, trace: bytes) -> bool:
        """Whether a request with this id is open here, or ended recently."""
        return trace in self.open_ids or trace in self.recent_ids.ended_ms

    def ids(self) -> list[tuple[str, float]]:
        """The ids of open and recently ended requests, newest last, each with the time in milliseconds at which its
        request ended (now for an open one).
        """
        now = self._clock.now_ms()
        found = [*self.recent_ids.items(), *((trace, now) for trace in self.open_ids)]
        return [(trace.decode("latin-1"), ended_ms) for trace, ended_ms in found[-self.recent_ids.MAX_IDS :]]

    def merge_ids(self, ids: list[tuple[str, float]]) -> None:
        """Add ids that another process of this balancer has seen: copies of those requests must not run here."""
        self.recent_ids.merge((text.encode("latin-1", "replace"), ended_ms) for text, ended_ms in ids)
