"""Sheds requests before the request handler reads them, while the event loop is overloaded.

While nothing is shed, this costs one comparison per request. While it sheds, it looks up three headers and writes a
refusal: the rest of the request is not read, and the decisions get no event for it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from larkweir_balancing.interface import Settings
from larkweir_balancing.load_shedding import LoadShedder

from larkweir.config.options import Door as Options
from larkweir.core.clock import Clock
from larkweir.core.message import Headers, Message
from larkweir.core.request_parser import MAX_TRACE


class Guard:
    """Decides about each request, from the length of every iteration of the event loop."""

    LOG_INTERVAL_MS = 10_000.0  # least time between two log lines

    def __init__(
        self,
        options: Options,
        settings: Settings,
        clock: Clock,
        seed: int,
        is_taken: Callable[[bytes], bool],
        log: Callable[[str], None],
    ) -> None:
        """`is_taken` tells whether an id is or recently was open, in this process or in another of this balancer."""
        self.shedder = LoadShedder(settings.classes, Random(seed), options.high, options.low)
        self._clock = clock
        self._is_taken = is_taken
        self._log = log
        self._logged_ms = -self.LOG_INTERVAL_MS
        self._logged_count = 0
        clock.on_iteration = self._on_iteration
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply new settings; a new class may reuse the index of a removed one."""
        self.shedder.configure(settings.classes)
        self._classes = {item.name.encode(): n for n, item in enumerate(settings.classes)}
        wait_ms = settings.max_retry_after_ms
        self._refusal: Headers = [(b"Retry-After", b"%.3f" % (wait_ms / 1000.0))] if wait_ms > 0.0 else []
        self._refusal.append((b"X-Never-Ran", b"1"))  # a tier above may send the request elsewhere

    def _on_iteration(self, busy_ms: float, whole_ms: float) -> None:
        shedder = self.shedder
        shedder.on_iteration(busy_ms, whole_ms)
        if (
            shedder.shed_count > self._logged_count
            and self._clock.now_ms() - self._logged_ms > self.LOG_INTERVAL_MS
        ):
            self._logged_ms = self._clock.now_ms()
            self._log(
                f"door: loop iterations of {shedder.mean_busy_ms:.0f} ms, {shedder.shed_fraction:.0%} refused, "
                f"{shedder.shed_count - self._logged_count} since the last line"
            )
            self._logged_count = shedder.shed_count

    def refusal_for(self, message: Message) -> Headers | None:
        """The headers of a refusal, or None if the request is to be handled."""
        if not self.shedder.is_shedding:
            return None
        self._clock.loop_iteration()  # an iteration that only sheds counts too
        class_name = trace = b""
        is_retry = False
        for name, value in message.headers:
            if len(name) in FIELD_LENGTHS:
                lower = name.lower()
                if lower == b"x-qos":
                    class_name = value
                elif lower == b"x-trace-id":
                    trace = value
                elif lower == b"x-second-try":
                    is_retry = value == b"1"
        class_index = self._classes.get(class_name)
        # An invalid request gets its own answer. So does an id that is open: a refusal would declare a retry harmless
        # while a request may be running under that id.
        if class_index is None or not trace or len(trace) > MAX_TRACE or self._is_taken(trace):
            return None
        return None if self.shedder.admits(class_index, is_retry) else self._refusal


FIELD_LENGTHS = frozenset(map(len, (b"x-qos", b"x-trace-id", b"x-second-try")))
