"""Connects the routes to a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir_balancing import Balancer

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.ports import Decisions
from larkweir.core.request_handler import RequestHandler
from larkweir.core.stderr_log import StderrLog
from larkweir.membership.discovery import Discovery
from larkweir.routes.request_routing import Routes


class Host(Protocol):
    """What the routes need of the balancer."""

    config: Config
    clock: Clock
    log: StderrLog
    dispatcher: Dispatcher
    request_handler: RequestHandler
    decisions: Decisions
    routes: Routes | None
    discovery: Discovery
    upstream_protocol: Callable[[int], str] | None
    configure_callbacks: list[Callable[[Config, Operator | None], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]


def begin(host: Host, options: Operator) -> None:
    """Replace the single `Balancer` by one for each pool. Other implementations of `Decisions` (scripts) are kept."""
    if not isinstance(host.decisions, Balancer):
        return
    host.routes = Routes(options, host.config, host.clock, host.log.write)
    host.decisions = host.routes.switch


def attach(host: Host, options: Operator) -> None:
    """Connect the routes to the dispatcher, discovery, the request handler, reloads and the status."""
    routes = host.routes
    if routes is None:
        return
    routes.dispatcher = host.dispatcher
    routes.reroute(host.dispatcher.on_listing)
    host.discovery.reroute(routes.on_listing)
    if options.owners.on and options.owners.evacuate_ms:
        names = host.discovery.names
        names.reverse = {} if names.reverse is None else names.reverse
        routes.name_of = lambda number: (names.reverse or {}).get(number, "")
    host.upstream_protocol = routes.protocol_of
    host.request_handler.router = routes

    def configure(config: Config, options: Operator | None) -> None:
        if options is not None:
            routes.reconfigure(options, config)

    host.configure_callbacks.append(configure)
    host.status_callbacks.append(routes.facts)
