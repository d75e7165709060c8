"""Health checks that the decisions ask for: each is one GET to an upstream, independent of requests."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larkweir_balancing.interface import Outcome, Probe, ProbeEnded

from larkweir.core.clock import Clock
from larkweir.core.message import Message
from larkweir.core.ports import Pool
from larkweir.core.reports import report_of

HEALTH_TARGET = b"/health"
LOAD_REPORT_TARGET = b"/status/load"


class _ProbeObserver:
    """Reports the end of one health check."""

    __slots__ = ("_sender", "_sent_ms", "_server")
    streams = False

    def __init__(self, sender: ProbeSender, server: int, sent_ms: float) -> None:
        self._sender = sender
        self._server = server
        self._sent_ms = sent_ms

    def no_longer_needed(self) -> bool:
        return False

    def started(self, answer: Message) -> bool:
        return False

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        self._sender.probe_ended(self._server, outcome, self._sent_ms, answer)


class ProbeSender:
    """Sends health checks. Each ends with exactly one `ProbeEnded` event."""

    TIMEOUT_MS = 50.0

    def __init__(
        self,
        clock: Clock,
        upstreams: Pool,
        report_names: Sequence[str],
        target: bytes,
        deliver: Callable[[ProbeEnded], None],
    ) -> None:
        """`report_names`: the names of the values in the load report of the answer's body; empty if no report is
        expected. `target`: the request target.
        """
        self.target = target
        self._clock = clock
        self._upstreams = upstreams
        self._report_names = report_names
        self._deliver = deliver

    def send(self, action: Probe) -> None:
        """Start a health check of `action.server`."""
        server = action.server
        now = self._clock.now_ms()
        upstream = self._upstreams.targets.get(server)
        if upstream is None:
            self._deliver(ProbeEnded(server, Outcome.CONNECT_FAILED))
            return
        host, port = upstream.address
        message = Message()
        message.method, message.target = b"GET", self.target
        message.headers = [(b"Host", b"%s:%d" % (host.encode(), port))]
        observer = _ProbeObserver(self, server, now)
        self._upstreams.call(server, message, now + self.TIMEOUT_MS, observer, probe=True)

    def probe_ended(self, server: int, outcome: Outcome, sent_ms: float, answer: Message | None) -> None:
        """A health check that was sent at `sent_ms` has ended."""
        report = report_of(answer, self._report_names, True)
        self._deliver(ProbeEnded(server, outcome, self._clock.now_ms() - sent_ms, report))
