"""Parses a caller's message into a `RequestArrived` event, using the names in the settings. Pure logic."""

from __future__ import annotations

import zlib
from collections.abc import Collection

from larkweir_balancing.interface import Effect, RequestArrived, RequestClass, Settings

from larkweir.core.message import FramingError, Message

MAX_TRACE = 128  # bytes of a request's id
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))


PARSED_HEADERS = frozenset(
    (
        b"x-trace-id",
        b"x-qos",
        b"x-expires-in-ms",
        b"idempotency-key",
        b"x-size-hint",
        b"x-object",
        b"x-customer",
        b"x-second-try",
    )
)


class RequestParser:
    """Parses and checks request headers against the settings' classes and tenants."""

    # The number of earlier settings that are retained for queued requests, which are parsed with the settings under
    # which they were received. A request is queued no longer than its deadline. If there are more reloads in that time,
    # the oldest retained settings apply.
    MAX_EARLIER = 8

    def __init__(
        self,
        settings: Settings,
        taken: Collection[str] | None = None,
        now_ms: float = 0.0,
        before: RequestParser | None = None,
    ) -> None:
        """`taken`: the names of the classes that new requests may use; None: all classes of the settings. A removed
        class stays in the settings while requests of that class are open. `before`: the parser that this one replaces
        at `now_ms`, on the balancer's clock.
        """
        self._settings = settings
        self._classes = {item.name.encode(): n for n, item in enumerate(settings.classes)}
        self._removed = {name for name in self._classes if taken is not None and name.decode() not in taken}
        self._tenants = {item.name.encode(): n for n, item in enumerate(settings.tenants)}
        # Earlier parsers, oldest first, each with the time at which it was replaced.
        self._earlier: list[tuple[float, RequestParser]] = []
        if before is not None:
            self._earlier = [*before._earlier, (now_ms, before)][-self.MAX_EARLIER :]
            before._earlier = []  # otherwise the parsers would form a chain that keeps all earlier settings alive

    def _received_under(self, message: Message) -> RequestParser:
        """The parser of the settings that were in force when a queued message was received."""
        if message.queued_since_ms:
            for replaced_ms, earlier in self._earlier:
                if message.queued_since_ms < replaced_ms:
                    return earlier
        return self

    def parse(self, message: Message) -> tuple[RequestArrived, float, bytes]:
        """Returns the event, the time until the deadline in milliseconds, and the request's id. Raises FramingError if
        the headers are not acceptable.
        """
        found: dict[bytes, bytes] = {}
        for name, value in message.headers:
            lower = name.lower()
            if lower in PARSED_HEADERS:
                if lower in found:
                    raise FramingError(400, f"header {lower.decode('latin-1')} comes more than once")
                found[lower] = value
        get = found.get
        trace = get(b"x-trace-id")
        if not trace or len(trace) > MAX_TRACE:
            # Upstreams and logs identify requests by this id.
            raise FramingError(400, "a request without its id")
        named = get(b"x-qos", b"")
        terms = self._received_under(message) if self._earlier else self
        index = terms._classes.get(named)
        if index is None or named in terms._removed:
            raise FramingError(400, f"unknown class {named!r:.60}")
        cls = terms._settings.classes[index]
        left = cls.deadline_ms
        text = get(b"x-expires-in-ms")
        if text is not None:
            if not text.isdigit() or len(text) > 15:
                raise FramingError(400, f"unreadable deadline {text!r:.60}")
            left = min(left, float(text))  # a client can only shorten the deadline of the class
        if cls.effect is Effect.KEYED and not get(b"idempotency-key"):
            # Without a key, the upstreams could not recognize and drop a repeat.
            raise FramingError(400, "a keyed request without its key")
        hint = get(b"x-size-hint")
        key = get(b"x-object")
        event = RequestArrived(
            request=0,
            class_index=index,
            time_left_ms=left,
            # A tenant that is not in the settings gets the number after the last one, which has no quota.
            tenant=self._tenants.get(get(b"x-customer") or b"", len(self._tenants)),
            key=zlib.crc32(key) + 1 if key else 0,
            expected_ms=int(hint) / 1000.0 if hint and hint.isdigit() and len(hint) < 12 else None,
            client_retry=get(b"x-second-try") == b"1",
        )
        if terms is not self:
            self._keep_terms(event, cls, terms._settings.max_attempts)
        return event, left, trace

    def _keep_terms(self, event: RequestArrived, cls: RequestClass, max_attempts: int) -> None:
        """Keep the class and the maximum number of attempts under which a queued request was received. Raises
        FramingError if another class has its class's index in the current settings.
        """
        classes = self._settings.classes
        if event.class_index >= len(classes) or classes[event.class_index].name != cls.name:
            raise FramingError(503, f"class {cls.name!r:.60} was removed before this request's turn")
        if classes[event.class_index] != cls:
            event.class_at_arrival = cls
        event.attempts_left = max_attempts
