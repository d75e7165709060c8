"""Attaches FastCGI to a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.request_handler import RequestHandler
from larkweir.core.stderr_log import StderrLog
from larkweir.protocols.connection import Connection
from larkweir.protocols.fastcgi.callers import FastcgiCaller
from larkweir.protocols.fastcgi.cgi import refuse_collapsing
from larkweir.protocols.fastcgi.upstreams import UpstreamCapabilities
from larkweir.protocols.listener import Listener
from larkweir.upstreams.connection import UpstreamConnection
from larkweir.upstreams.pool import UpstreamPool
from larkweir.upstreams.upstream import Upstream


class Host(Protocol):
    """What it needs of the balancer."""

    config: Config
    log: StderrLog
    request_handler: RequestHandler
    upstreams: UpstreamPool
    connection_types: dict[str, Callable[[Listener], Connection]]
    upstream_protocol: Callable[[int], str] | None
    close_callbacks: list[Callable[[], None]]


def attach(host: Host, options: Operator) -> None:
    """Speak FastCGI in this balancer, as the operator file says."""
    host.connection_types["fastcgi"] = FastcgiCaller
    said, figures, plain = host.upstream_protocol, options.fastcgi, host.upstreams.make_connection
    if figures.upstreams == "off" and said is None:
        return
    capabilities = UpstreamCapabilities(figures.multiplex, figures.requests, figures.keep, host.log.write)
    whole = figures.upstreams == "tier"
    kinds = frozenset(n for n, name in enumerate(host.config.kinds) if name in figures.kinds)

    def speaks(upstream: Upstream) -> bool:
        word = said(upstream.number) if said is not None else ""
        return word == "fastcgi" if word else whole or upstream.kind in kinds

    def make(pool: UpstreamPool, upstream: Upstream) -> UpstreamConnection:
        return capabilities.connection(pool, upstream) if speaks(upstream) else plain(pool, upstream)

    host.upstreams.make_connection = make
    host.upstreams.is_full = lambda upstream, waiting: speaks(upstream) and capabilities.full(
        upstream, waiting
    )
    host.request_handler.checks.append(refuse_collapsing)
    host.request_handler.streams = False  # the records of a request are made of its whole body
    host.close_callbacks.append(capabilities.close)
