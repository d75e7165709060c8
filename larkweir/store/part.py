"""Plugs the store into a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog
from larkweir.membership.discovery import Discovery
from larkweir.store.state_store import StateStore


class Host(Protocol):
    """What the store needs of the balancer."""

    config: Config
    clock: Clock
    log: StderrLog
    dispatcher: Dispatcher
    discovery: Discovery
    state_store: StateStore | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]


def attach(host: Host, options: Operator) -> None:
    """Create the store; the balancer opens it as it begins."""
    host.discovery.upstream_list.changed_ids = set()
    state_store = StateStore(options.store, host.config, host.clock, host.log.write)
    host.state_store = host.dispatcher.extensions.durable_state = state_store
    host.close_callbacks.append(state_store.close)
    host.status_callbacks.append(state_store.facts)
