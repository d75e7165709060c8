"""What the parts of a process's lifecycle ask of the process that they belong to."""

from __future__ import annotations

import socket
from collections.abc import Coroutine
from typing import Protocol

from larkweir.lifecycle.channel import HandoverState
from larkweir.lifecycle.events import Event
from larkweir.lifecycle.node import Node


class Host(Protocol):
    """The process, as its incoming and outgoing handover, its reloads and its operators' orders see it."""

    node: Node
    sockets: list[tuple[str, socket.socket]]  # that listen, each with the protocol that it speaks

    @property
    def paused(self) -> bool:
        """Whether an operator has paused this process."""

    @property
    def stop_requested(self) -> bool:
        """Whether this process was told to stop before it could handle any event."""

    def post(self, event: Event) -> None:
        """Handle an event now, or after the one that is being handled."""

    def log(self, line: str) -> None:
        """Write a line to the log."""

    def run_task(self, work: Coroutine[object, object, None]) -> None:
        """Run something beside the rest; the end of the process cancels it."""

    def is_waiting_for(self, serial: int) -> bool:
        """Whether this successor has not been abandoned."""

    def build_node(self, state: HandoverState | None) -> None:
        """Put the balancer together, with what a predecessor knows, if it says so."""

    def open_sockets(self) -> None:
        """Open the listening sockets that the files name; ConfigError where one can't be had."""

    def accept(self) -> None:
        """Accept connections on the listening sockets."""

    def discard(self) -> None:
        """Close what was opened for a start that does not take place."""

    def reclaim_limits(self) -> None:
        """The process that shared the limits is gone: they are this one's alone, unless there is another."""
