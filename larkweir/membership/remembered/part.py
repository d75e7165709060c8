"""Attaches the restored list to a balancer, and the runner of its work."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from larkweir.background.runner import Runner
from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog
from larkweir.membership.discovery import Discovery
from larkweir.membership.remembered.restore import RestoredMembers
from larkweir.upstreams.pool import UpstreamPool


class Host(Protocol):
    """What it needs of the balancer."""

    config: Config
    clock: Clock
    log: StderrLog
    dispatcher: Dispatcher
    upstreams: UpstreamPool
    discovery: Discovery
    runner: Runner | None
    remembered: RestoredMembers | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]


def attach(host: Host, options: Operator) -> None:
    """Restore members in this balancer, as the operator file says."""
    config, dispatcher, log_line = host.config, host.dispatcher, host.log.write
    host.runner = runner = Runner(host.clock, lambda: dispatcher.has_requests, log_line, Random(config.seed))
    host.remembered = dispatcher.extensions.answer_verifier = remembered = RestoredMembers(
        options.remembered,
        config,
        host.clock,
        log_line,
        host.discovery,
        host.discovery.on_listing,
        host.upstreams,
        dispatcher.probes.target,
    )
    remembered.on_drain_restored = host.upstreams.set_draining_since
    host.close_callbacks.append(remembered.close)
    host.discovery.trust_known = not options.remembered.known
    host.status_callbacks.append(lambda: {**remembered.facts(), **runner.facts()})
