"""Hands: the structured log's place in a balancer."""

from __future__ import annotations

from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.engine import Engine
from larkweir.core.journal import Journal
from larkweir.logs.lines import JsonJournal
from larkweir.logs.watch import Watch
from larkweir.upstreams.pool import Upstreams


class Host(Protocol):
    """What it needs of the balancer."""

    config: Config
    journal: Journal
    engine: Engine
    upstreams: Upstreams


def begin(host: Host, options: Operator) -> None:
    host.journal = JsonJournal(host.config.name, options.log.requests_per_s)


def attach(host: Host, options: Operator) -> None:
    """What goes into the decisions and out of them is told to the log."""
    journal, engine, upstreams = host.journal, host.engine, host.upstreams
    assert isinstance(journal, JsonJournal)

    def trace_of(number: int) -> bytes:
        exchange = engine.exchange_of(number)
        return exchange.trace if exchange is not None else b""

    def address_of(number: int) -> str:
        upstream = upstreams.table.get(number)
        return f"{upstream.address[0]}:{upstream.address[1]}" if upstream is not None else "gone"

    engine.decisions = Watch(
        engine.decisions, host.config.settings, options.log.requests, trace_of, address_of, journal.event
    )
