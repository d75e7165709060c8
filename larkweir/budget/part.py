"""Attaches retry budgets to a balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir.budget.chain import TierBudgets
from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog


class Host(Protocol):
    """The attributes of the balancer that this part uses."""

    config: Config
    log: StderrLog
    dispatcher: Dispatcher
    configure_callbacks: list[Callable[[Config, Operator | None], None]]


def attach(host: Host, options: Operator) -> None:
    host.dispatcher.extensions.budgets = budgets = TierBudgets(
        options.budget, host.config.settings, host.log.write
    )
    host.configure_callbacks.append(lambda config, options: budgets.configure(config.settings))
