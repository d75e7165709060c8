"""Hands: the storms' place in a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.engine import Engine
from larkweir.core.journal import Journal
from larkweir.core.ports import Decisions
from larkweir.protocols.listener import Listener
from larkweir.storms.gate import Gate
from larkweir.upstreams.pool import Upstreams
from mulleinhitch import Balancer


class Host(Protocol):
    """What it needs of the balancer."""

    config: Config
    journal: Journal
    engine: Engine
    upstreams: Upstreams
    listener: Listener
    decisions: Decisions
    storms: Gate | None
    facts: list[Callable[[], dict[str, object]]]


def attach(host: Host, options: Operator) -> None:
    """Only round a balancer's own decisions: not where pools or a script decide."""
    if isinstance(host.decisions, Balancer):
        host.storms = gate = Gate(options.storms, host.config, host.decisions, host.journal.line)
        host.engine.decisions = gate.watch
        gate.attach(host.engine, host.upstreams, host.listener)
        host.facts.append(gate.facts)
