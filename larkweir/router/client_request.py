"""A client's request as received by the router, and the headers that are forwarded to an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

import h11
from larkweir_balancing.prompt import Prompt

from larkweir.cluster.configuration.header_values import encode_header_value
from larkweir.cluster.configuration.hosts import normalize_host
from larkweir.cluster.configuration.paths import normalize_path
from larkweir.router.request_metadata import Headers, RequestMetadata

# Headers that apply to one connection only (RFC 9110, 7.6.1), or that are set again for the next connection.
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
HEADER_LINE_BYTES = 4  # colon, space and line end of one header
# Servers that reject such a large head close the connection, and their error response is often lost with it
# (RFC 9112, 9.6). 16 KiB is the largest default limit among common servers.
MIN_OVERSIZED_HEAD_BYTES = 16 * 1024
# Headers that the router sets itself; the client's values are dropped.
ROUTER_HEADERS = frozenset(
    (b"content-length", b"x-api-key", b"x-tenant", b"x-deadline-ms", b"x-target-instance", b"priority")
)


@dataclass(frozen=True, slots=True)
class RoutingHeaders:
    """The values of the headers that the router adds to a request that it forwards."""

    deadline_ms: int  # time left until the deadline
    instance: str
    tenant: str | None
    priority: int
    # The id after which a stream is resumed; None: the client's own header is forwarded.
    last_event_id: bytes | None


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One complete request. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: float  # on the event loop's clock
    metadata: RequestMetadata = field(default_factory=RequestMetadata)

    def header(self, name: bytes) -> bytes:
        """The first value of the header `name` (in lower case); empty if the request has no such header."""
        for found, value in self.headers:
            if found == name:
                return value
        return b""

    @property
    def has_oversized_head(self) -> bool:
        """Whether target and headers together are so large that an upstream may refuse them."""
        sizes = (len(name) + len(value) + HEADER_LINE_BYTES for name, value in self.headers)
        return len(self.target) + sum(sizes) >= MIN_OVERSIZED_HEAD_BYTES

    @property
    def host(self) -> str:
        """The `Host` header, normalized."""
        return normalize_host(self.header(b"host").decode("latin-1"))

    @property
    def path(self) -> str:
        """The target without the query, normalized."""
        path = self.target.decode("latin-1").partition("?")[0]
        # A target is printable ASCII without spaces, so that most paths are normalized already.
        return normalize_path(path) if "%" in path or "#" in path else path

    def prompt(self, target_ms: float) -> Prompt:
        """The prompt that an engine has to prefill.

        Its prefix, which other requests may share, consists of all blocks of `X-Prompt-Prefix` but the last: that one
        belongs to this request or its session alone. The prefix has the id of its own last block.

        Args:
            target_ms: the latency target of the first event, in milliseconds.
        """
        metadata = self.metadata
        tokens = float(metadata.prompt_tokens or 0)
        shared_blocks = metadata.prompt_blocks[:-1]
        if not shared_blocks:
            return Prompt(tokens=tokens, latency_target_ms=target_ms)
        prefix_tokens = float(sum(block.tokens for block in shared_blocks))
        return Prompt(shared_blocks[-1].id, tokens, min(tokens, prefix_tokens), target_ms)

    def upstream_request(self, routing: RoutingHeaders) -> h11.Request:
        """The head of the request that is sent to an upstream."""
        headers = self.upstream_headers(routing)
        return h11.Request(method=self.method, target=self.target, headers=headers)

    def upstream_headers(self, routing: RoutingHeaders) -> list[tuple[bytes, bytes]]:
        """The headers for an upstream: the client's, without hop-by-hop headers, and those of the router."""
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
        headers.append((b"x-target-instance", encode_header_value(routing.instance)))
        headers.append((b"priority", b"%d" % routing.priority))
        if routing.tenant is not None:
            headers.append((b"x-tenant", encode_header_value(routing.tenant)))
        if routing.last_event_id is not None:
            headers.append((b"last-event-id", routing.last_event_id))
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers
