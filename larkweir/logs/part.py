"""The structured log's place in a balancer."""

from __future__ import annotations

from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog
from larkweir.logs.lines import JsonJournal
from larkweir.logs.watch import Watch
from larkweir.upstreams.pool import UpstreamPool


class Host(Protocol):
    """What it needs of the balancer."""

    config: Config
    log: StderrLog
    dispatcher: Dispatcher
    upstreams: UpstreamPool


def begin(host: Host, options: Operator) -> None:
    host.log = JsonJournal(host.config.name, options.log.requests_per_s)


def attach(host: Host, options: Operator) -> None:
    """What goes into the decisions and out of them is told to the log."""
    log, dispatcher, upstreams = host.log, host.dispatcher, host.upstreams
    assert isinstance(log, JsonJournal)

    def trace_of(number: int) -> bytes:
        request = dispatcher.requests.get(number)
        return request.trace if request is not None else b""

    def address_of(number: int) -> str:
        upstream = upstreams.table.get(number)
        return f"{upstream.address[0]}:{upstream.address[1]}" if upstream is not None else "gone"

    dispatcher.decisions = Watch(
        dispatcher.decisions, host.config.settings, options.log.requests, trace_of, address_of, log.event
    )
