"""A client's request as the router reads it, and the headers that go on to an upstream."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from larkweir_balancing.prompt import Prompt

Headers = Sequence[tuple[bytes, bytes]]

# Of one connection alone (RFC 9110, 7.6.1), or framed anew.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Set by the router, whatever the client sent.
ROUTER_HEADERS = frozenset(
    (b"content-length", b"x-api-key", b"x-tenant", b"x-deadline-ms", b"x-target-instance", b"priority")
)


class RoutingHeaders(NamedTuple):
    """What the router tells an upstream of a request beside the client's own headers."""

    deadline_ms: int
    instance: str
    tenant: str | None
    priority: int
    last_event_id: bytes | None


@dataclass(slots=True)
class ClientRequest:
    """One whole request. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: float

    def header(self, name: bytes) -> bytes:
        """The first of that name, or nothing."""
        for found, value in self.headers:
            if found == name:
                return value
        return b""

    @property
    def host(self) -> str:
        """Without a port."""
        return self.header(b"host").decode("latin-1").partition(":")[0].lower()

    @property
    def path(self) -> str:
        """Without a query."""
        return self.target.decode("latin-1").partition("?")[0]

    @property
    def deadline_ms(self) -> float | None:
        """For how long the client waits, where it says so."""
        text = self.header(b"x-deadline-ms")
        try:
            return max(0.0, float(text)) if text else None
        except ValueError:
            return None

    @property
    def tokens(self) -> float | None:
        """Of its prompt and the most it generates, where it says so."""
        text = self.header(b"x-token-usage")
        if not text:
            return None
        try:
            return float(sum(int(part) for part in text.split(b",")))
        except ValueError:
            return None

    def prompt(self, aim_ms: float) -> Prompt:
        """What it asks an engine to read. Its head is named by the deepest part that it shares with others.

        `aim_ms`: in which its first event is wanted.
        """
        usage = self.header(b"x-token-usage").partition(b",")[0]
        tokens = float(usage) if usage.strip().isdigit() else 0.0
        parts = self.header(b"x-prompt-prefix").split(b",")
        if len(parts) < 2:
            return Prompt(tokens=tokens, latency_target_ms=aim_ms)
        sizes = [part.partition(b":")[2].strip() for part in parts[:-1]]
        head_tokens = float(sum(int(size) for size in sizes if size.isdigit()))
        head = parts[-2].partition(b":")[0].strip().decode("latin-1")
        return Prompt(head, tokens, min(tokens, head_tokens), aim_ms)

    def upstream_headers(self, routing: RoutingHeaders) -> list[tuple[bytes, bytes]]:
        """What goes to an upstream: the client's headers, without those of its connection, and the router's."""
        dropped = HOP_BY_HOP_HEADERS | ROUTER_HEADERS
        if routing.last_event_id is not None:
            dropped = dropped | {b"last-event-id"}
        connection_options = {
            token.strip().lower()
            for name, value in self.headers
            if name == b"connection"
            for token in value.split(b",")
        }
        headers = [
            (name, value)
            for name, value in self.headers
            if name not in dropped and name not in connection_options
        ]
        headers.append((b"x-deadline-ms", b"%d" % routing.deadline_ms))
        headers.append((b"x-target-instance", routing.instance.encode("latin-1")))
        headers.append((b"priority", b"%d" % routing.priority))
        if routing.tenant is not None:
            headers.append((b"x-tenant", routing.tenant.encode("latin-1")))
        if routing.last_event_id is not None:
            headers.append((b"last-event-id", routing.last_event_id))
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers
