"""Attaches storm handling to a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir_balancing import Balancer

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.ports import Decisions
from larkweir.core.stderr_log import StderrLog
from larkweir.protocols.listener import Listener
from larkweir.storms.gate import Gate
from larkweir.upstreams.pool import UpstreamPool


class Host(Protocol):
    """The attributes of the balancer that this part uses."""

    config: Config
    log: StderrLog
    dispatcher: Dispatcher
    upstreams: UpstreamPool
    listener: Listener
    decisions: Decisions
    storms: Gate | None
    status_callbacks: list[Callable[[], dict[str, object]]]


def attach(host: Host, options: Operator) -> None:
    """Attach only where the balancer itself decides, not where pools or a script decide."""
    if isinstance(host.decisions, Balancer):
        host.storms = gate = Gate(options.storms, host.config, host.decisions, host.log.write)
        host.dispatcher.decisions = gate.decisions
        gate.attach(host.dispatcher, host.upstreams, host.listener)
        host.status_callbacks.append(gate.facts)
