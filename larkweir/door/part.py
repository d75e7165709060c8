"""Attaches load shedding to a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.request_handler import RequestHandler
from larkweir.core.stderr_log import StderrLog
from larkweir.door.guard import Guard


class Host(Protocol):
    """The attributes of the balancer that this part uses."""

    config: Config
    clock: Clock
    log: StderrLog
    request_handler: RequestHandler
    configure_callbacks: list[Callable[[Config, Operator | None], None]]


def attach(host: Host, options: Operator) -> None:
    config = host.config
    is_taken, log = host.request_handler.is_known, host.log.write
    host.request_handler.load_shedder = guard = Guard(
        options.door, config.settings, host.clock, config.seed, is_taken, log
    )
    host.configure_callbacks.append(lambda config, options: guard.configure(config.settings))
