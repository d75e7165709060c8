"""The queue of requests that wait for a slot in the concurrency limiter's window. Pure logic.

Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict

from larkweir_balancing.settings import Settings


class AdmissionQueue:
    """Requests that found the window full: one FIFO queue for each class, within and over the tenant's share.

    Traffic within its tenant's share goes before traffic over it. On either side, classes are served in proportion to
    their `worth` (stride scheduling), so that none starves: a class of eight times the worth gets eight turns for one.
    A request may wait for a fraction of the time in which its answer is still useful. While the queue has not been
    empty for some time the fraction is smaller, as in CoDel: a burst may wait, a standing queue may not.
    """

    STANDING_FRACTION = 0.5  # of `aim_ms`: a queue that has not been empty for longer is a standing queue
    MAX_WAITING = 4096  # requests
    OVER_SHARE_INTERVAL = 16  # turns: one of so many goes to traffic over its share, so that it never starves

    def __init__(self, settings: Settings) -> None:
        self._queues: list[OrderedDict[int, None]] = []
        self._next_pass: list[float] = []
        self._weights: list[float] = []
        self._count = 0
        self._over_share_count = 0  # of these, how many are over their tenant's share
        self._popped = 0
        self._current_pass = 0.0
        # Since when the queues within and over the share have not been empty; below 0: they are empty.
        self._occupied_since_ms = [-1.0, -1.0]
        self._queue_of: dict[int, int] = {}  # by request: the index of its queue
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take new settings; waiting requests stay. Classes keep their index; new ones may be added at the end."""
        # How long a request may wait in a burst, and in a standing queue: fractions of its `aim_left_ms`.
        self._burst_wait_fraction, self._standing_wait_fraction = (
            settings.tuning.queue_patience,
            settings.tuning.queue_standing,
        )
        had = len(self._weights)
        self._weights = [max(cls.worth, 0.001) for cls in settings.classes]
        self._classes = count = len(self._weights)
        if had < count:  # the queues within the share come first, then those over it
            fresh: list[OrderedDict[int, None]] = [OrderedDict() for _ in range(2 * (count - had))]
            self._queues = [*self._queues[:had], *fresh[::2], *self._queues[had:], *fresh[1::2]]
            none = [0.0] * (count - had)
            self._next_pass = [*self._next_pass[:had], *none, *self._next_pass[had:], *none]
            self._queue_of = {
                request: at if at < had else at + count - had for request, at in self._queue_of.items()
            }
        # A class whose worth was small before would otherwise wait for the turns that its old worth had cost it.
        latest = [self._current_pass + 1.0 / weight for weight in (*self._weights, *self._weights)]
        self._next_pass = [min(turn, most) for turn, most in zip(self._next_pass, latest, strict=True)]

    def __len__(self) -> int:
        return self._count

    def __bool__(self) -> bool:
        return self._count > 0

    def max_wait_ms(
        self, now_ms: float, aim_ms: float, aim_left_ms: float, slot_interval_ms: float, over_share: bool
    ) -> float:
        """How long a request may wait. `aim_left_ms`: how long its answer is still useful.

        `slot_interval_ms`: the mean time between two free slots.
        """
        part = self._burst_wait_fraction
        since = self._occupied_since_ms[over_share]
        if since >= 0.0 and now_ms - since > self.STANDING_FRACTION * aim_ms:
            # Where slots are rarely free, long enough for one or two; otherwise no request would be there to take one.
            part = min(part, max(self._standing_wait_fraction, 2.0 * slot_interval_ms / aim_ms))
        return part * aim_left_ms

    def try_enter(
        self,
        now_ms: float,
        request: int,
        class_index: int,
        over_share: bool,
        max_wait_ms: float,
        slot_interval_ms: float,
    ) -> bool:
        """Queue the request if it can get a slot within `max_wait_ms`; False means that it must be refused at once."""
        if self._count >= self.MAX_WAITING or max_wait_ms <= 0.0:
            return False
        at = class_index + self._classes * over_share
        if self._count_ahead(at) * slot_interval_ms > max_wait_ms:
            return False
        queue = self._queues[at]
        if not queue:  # a queue that was empty has not saved up turns
            self._next_pass[at] = max(self._next_pass[at], self._current_pass)
        queue[request] = None
        self._queue_of[request] = at
        if self._occupied_since_ms[over_share] < 0.0:
            self._occupied_since_ms[over_share] = now_ms
        self._count += 1
        self._over_share_count += over_share
        return True

    def _count_ahead(self, at: int) -> float:
        """Estimate the position of a request that joins this queue now: 1 if it would get the next slot."""
        own = len(self._queues[at]) + 1
        if at >= self._classes:
            return self._count + 1.0
        weight = self._weights[at]
        ahead = float(own)
        for other in range(self._classes):
            if other != at and self._queues[other]:
                ahead += min(len(self._queues[other]), own * self._weights[other] / weight)
        return ahead

    def pop_next(self) -> int | None:
        """Remove the request whose turn it is and return it; None if the queue is empty."""
        if not self._count:
            return None
        within = self._count - self._over_share_count
        self._popped += 1
        over = not within or (self._over_share_count > 0 and self._popped % self.OVER_SHARE_INTERVAL == 0)
        low, high = (self._classes, 2 * self._classes) if over else (0, self._classes)
        at = min((n for n in range(low, high) if self._queues[n]), key=self._next_pass.__getitem__)
        self._current_pass = self._next_pass[at]
        self._next_pass[at] += 1.0 / self._weights[at % self._classes]
        request, _ = self._queues[at].popitem(last=False)
        del self._queue_of[request]
        self._on_removed(at)
        return request

    def remove(self, request: int) -> bool:
        """Remove the request before its turn; returns whether it was waiting."""
        at = self._queue_of.pop(request, None)
        if at is None:
            return False
        del self._queues[at][request]
        self._on_removed(at)
        return True

    def _on_removed(self, at: int) -> None:
        self._count -= 1
        self._over_share_count -= at >= self._classes
        if not self._over_share_count:
            self._occupied_since_ms[True] = -1.0
        if self._count == self._over_share_count:
            self._occupied_since_ms[False] = -1.0
