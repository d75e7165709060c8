"""Notices that the whole process stood still, so that requests which waited meanwhile are known to have waited."""

from __future__ import annotations

from collections.abc import Callable

from larkweir.lifecycle.node import Node


class StallWatch:
    """Looks at the clock twice in each `stall_ms` milliseconds. A look that comes late by more is a stall."""

    FORGET_MS = 20.0  # after a stall, for what has waited in the sockets to be read

    def __init__(self, node: Node, stall_ms: float, log: Callable[[str], None]) -> None:
        self._node = node
        self._stall_ms = stall_ms
        self._log = log
        self._due_ms = node.clock.now_ms()
        node.dispatcher.min_stall_ms = stall_ms
        self._look()

    def _look(self) -> None:
        now_ms = self._node.clock.now_ms()
        lost_ms = now_ms - self._due_ms
        interval_ms = self._stall_ms / 2.0
        self._due_ms = now_ms + interval_ms
        if lost_ms > self._stall_ms:
            self._log(
                f"this process stood still for {lost_ms:.0f} ms; requests read now have waited meanwhile"
            )
            self._node.dispatcher.stalled_ms = lost_ms
            self._node.clock.after(self.FORGET_MS, self._forget)
        self._node.clock.after(interval_ms, self._look)

    def _forget(self) -> None:
        self._node.dispatcher.stalled_ms = 0.0
