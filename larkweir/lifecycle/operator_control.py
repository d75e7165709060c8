"""Operators' orders: the address that they are sent to, and what each of them does.

Imported only where an address for operators is named.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Protocol

from larkweir_balancing.interface import ServerState

from larkweir.config.platform import ConfigError
from larkweir.control.rules import Order
from larkweir.control.server import ControlServer
from larkweir.lifecycle.events import PauseRequested, ResumeRequested
from larkweir.lifecycle.node import Node
from larkweir.lifecycle.state_machine import ProcessStateMachine

if TYPE_CHECKING:
    from larkweir.lifecycle.events import Event

Address = tuple[str, int]


class ControlHost(Protocol):
    """The process that operators give orders to."""

    node: Node

    @property
    def state_machine(self) -> ProcessStateMachine | None:
        """None while a predecessor still serves."""

    @property
    def config_fingerprint(self) -> str:
        """Of the configuration in force, where a file of the configuration language says it; else empty."""

    @property
    def is_ending(self) -> bool:
        """Whether the process is about to exit."""

    def check_first_list(self) -> None:
        """Be ready at once where there is a list that has not been looked at."""

    def post(self, event: Event) -> None:
        """Handle an event."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


class OperatorControl:
    """Listens at the operators' address, and carries out STATUS, PAUSE and RESUME."""

    BIND_RETRY_MS = 50.0  # between two tries for an address that a predecessor still has

    def __init__(self, host: ControlHost, address: Address, waits_for_address: bool) -> None:
        """`waits_for_address`: a predecessor has the address to its end, and answers there."""
        self._host = host
        self._address = address
        self._waits_for_address = waits_for_address
        self._server: ControlServer | None = None

    def open(self) -> None:
        """Listen; ConfigError where the address can't be had. This process accepts requests by then, so an address that
        a predecessor still has is waited for.
        """
        if self._host.is_ending:
            return
        try:
            sock = ControlServer.bind(self._address)
        except OSError as problem:
            if not self._waits_for_address or problem.errno != errno.EADDRINUSE:
                raise ConfigError(f"control: {self._address[0]}:{self._address[1]}: {problem}") from None
            self._host.node.clock.after(self.BIND_RETRY_MS, self.open)
            return
        self._server = ControlServer(self._host.node.clock, self._execute, self._host.log)
        self._server.start(sock)

    def close(self) -> None:
        """Listen no longer."""
        if self._server is not None:
            self._server.close()

    def _execute(self, order: Order) -> tuple[bool, str]:
        """Whether an order is accepted, and what there is to say."""
        machine = self._host.state_machine
        if machine is None:
            return False, "this life is starting"
        self._host.check_first_list()
        if order is Order.STATUS:
            return self._status(machine)
        refusal = machine.pause_refusal()
        if refusal:
            return False, refusal
        self._host.post(PauseRequested() if order is Order.PAUSE else ResumeRequested())
        return True, "paused" if machine.paused else "serving"

    def _status(self, machine: ProcessStateMachine) -> tuple[bool, str]:
        """Whether this process serves, and its fields; optional parts add theirs."""
        node = self._host.node
        serves = bool(node.listener.sockets) and node.dispatcher.ready and not machine.pause_refusal()
        upstreams = node.upstreams.targets.values()
        state = "paused" if machine.paused else machine.state.value
        fields: dict[str, object] = {
            "state": state.replace(" ", "-"),
            "upstreams": f"{sum(item.state is ServerState.READY for item in upstreams)}/{len(upstreams)}",
            "callers": node.listener.count,
            "requests": node.dispatcher.unanswered,
            "discovery": node.discovery.address,
            "list": node.discovery.generation,
        }
        if self._host.config_fingerprint:
            fields["config"] = self._host.config_fingerprint
        for more in reversed(node.status_callbacks):
            fields |= more()
        return serves, " ".join(f"{key}={value}" for key, value in fields.items())
