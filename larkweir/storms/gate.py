"""Connects storm handling to a balancer: client fingerprints, headers of refusals, and limits on new connections."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from larkweir_balancing import Balancer

from larkweir.config.options import Storms as Options
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.message import Headers
from larkweir.protocols.listener import Listener
from larkweir.storms.pace import AcceptLimiter, ConnectLimiter
from larkweir.storms.signs import State
from larkweir.storms.storm import Storm
from larkweir.storms.storm_balancer import StormBalancer
from larkweir.upstreams.pool import UpstreamPool

# Headers that, with the address, identify a client and its request. They are the same in a retry.
IDENTIFYING_HEADERS = frozenset((b"x-customer", b"x-qos", b"x-object", b"idempotency-key"))


class Gate:
    """Created with the decisions, and attached once the other components exist."""

    TICK_MS = 250.0  # ends a storm also when no request arrives

    def __init__(
        self, options: Options, config: Config, decisions: Balancer, log: Callable[[str], None]
    ) -> None:
        self._options = options
        self.storm = Storm(config.settings, config.seed, log=log, sets=max(16, options.clients // 4))
        self.decisions = StormBalancer(decisions, self.storm, self._fingerprint_of)
        self._balancer = decisions
        self._dispatcher: Dispatcher | None = None
        self._clock: Clock | None = None
        self._connect_limiter = ConnectLimiter(options.connects_per_s, self._capacity_fraction)
        self._accept_limiter = AcceptLimiter(
            min(cls.aim_ms for cls in config.settings.classes), Listener.BACKLOG
        )

    def attach(self, dispatcher: Dispatcher, upstreams: UpstreamPool, listener: Listener) -> None:
        self._dispatcher = dispatcher
        self._clock = dispatcher.clock
        dispatcher.extensions.retry_after = self.retry_headers
        if self._options.connects_per_s > 0.0:
            upstreams.rate_limiter = self
        listener.can_accept = self._accept
        self._tick()

    def _tick(self) -> None:
        assert self._clock is not None
        self.decisions.tick(self._clock.now_ms())
        self._clock.after(self.TICK_MS, self._tick)

    # ------------------------------------------------ clients

    def _fingerprint_of(self, number: int) -> int:
        """The fingerprint of a request's client. It uses the address of the connection, which can't be forged."""
        assert self._dispatcher is not None
        request = self._dispatcher.requests.get(number)
        if request is None:
            return 0
        message = request.message
        parts = [request.caller.peer.encode(), message.method, message.target]
        parts += sorted(
            lower + b":" + value
            for name, value in message.headers
            if (lower := name.lower()) in IDENTIFYING_HEADERS
        )
        return self.storm.advice.fingerprint(*parts)

    def retry_headers(self, wait_ms: float) -> Headers:
        """The `Retry-After` header (RFC 9110 section 10.2.3), rounded up: the client must not return too early."""
        seconds = wait_ms / 1000.0
        text = b"%d" % ceil(seconds) if self._options.whole_seconds else b"%.3f" % seconds
        headers = [(b"Retry-After", text)]
        if self._options.fields:
            # Structured fields of draft-ietf-httpapi-ratelimit-headers: no quota remains until the wait is over.
            headers.append(
                (b"RateLimit-Policy", b'"storm";q=1;w=%d' % ceil(self.storm.advice.max_wait_ms / 1000.0))
            )
            headers.append((b"RateLimit", b'"storm";r=0;t=%d' % ceil(seconds)))
        return headers

    # ------------------------------------------------ connections

    def _accept(self) -> bool:
        assert self._clock is not None
        now = self._clock.now_ms()
        if self.storm.signs.flooded and not self._accept_limiter.try_accept(now):
            return False
        self.storm.connected(now)
        return True

    def _capacity_fraction(self, upstream: int, now_ms: float) -> float:
        server = self._balancer.table.servers.get(upstream)
        return 1.0 if server is None else self._balancer.slow_start.capacity_fraction(server, now_ms)

    def is_allowed(self, upstream: int, now_ms: float) -> bool:
        """Whether a new connection to an upstream may be opened now. Always true for a warm one in the state CALM."""
        if self.storm.state is State.CALM and self._capacity_fraction(upstream, now_ms) >= 1.0:
            return True
        return self._connect_limiter.try_open(upstream, now_ms)

    def wait_ms(self, upstream: int, now_ms: float) -> float:
        return self._connect_limiter.wait_ms(upstream, now_ms)

    # ------------------------------------------------ status

    def facts(self) -> dict[str, object]:
        """The status that operators see."""
        counts = self.storm.counts()
        return {
            "storm": counts.state.value,
            "sent_per_s": f"{counts.sent_per_s:.1f}",
            "turned_away": counts.turned_away,
            "let_in": counts.let_in,
            "storms": counts.storms,
            "ignoring": counts.ignoring,
            "kept_word": counts.kept_word,
        }
