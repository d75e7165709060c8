"""The ids of requests that other processes of this balancer accept while they serve beside this one. Pure logic.

Two processes serve side by side from a handover's "go" until one has ended: each on the connections that it has. Each
sends the other the ids that it accepts in that time, so that a duplicate of a request is rejected by both.
"""

from __future__ import annotations

from collections.abc import Callable

from larkweir.lifecycle.channel import TakenIds

NotifyTaken = Callable[[TakenIds], None]


class PeerRequestIds:
    """`larkweir.core.request_handler.PeerIds`: sends the ids that this process accepts, and holds those received."""

    MAX_IDS = 16_384  # some seconds of what a process accepts; the oldest go first

    def __init__(self, now_ms: Callable[[], float], store: Callable[[list[tuple[str, float]]], None]) -> None:
        """`store` gets the ids that are held, with the times when each was received in milliseconds, once no other
        process is left.
        """
        self._now_ms = now_ms
        self._store = store
        self._received_ms: dict[bytes, float] = {}  # when each was received, in milliseconds
        self._processes: dict[int, NotifyTaken] = {}

    def __contains__(self, trace: bytes) -> bool:
        return trace in self._received_ms

    def join(self, process: int, notify: NotifyTaken) -> None:
        """Another process serves beside this one from now on. `process` is this process's number for it; `notify`
        sends it ids.
        """
        self._processes[process] = notify

    def leave(self, process: int) -> None:
        """That process has ended, or has no connections left."""
        if self._processes.pop(process, None) is not None and not self._processes:
            self._store(self.ids())
            self._received_ms.clear()

    def announce(self, trace: bytes) -> None:
        """This process accepts a request. To be called before any of it is sent."""
        taken = TakenIds((trace.decode("latin-1"),))
        for notify in self._processes.values():
            notify(taken)

    def receive(self, process: int, taken: TakenIds) -> None:
        """Store the ids that another process has accepted, and forward them to any third one. Ids of a process that has
        left are ignored.
        """
        if process not in self._processes:
            return
        now = self._now_ms()
        for text in taken.ids:
            self._received_ms[text.encode("latin-1", "replace")] = now
        while len(self._received_ms) > self.MAX_IDS:
            del self._received_ms[next(iter(self._received_ms))]
        for other, notify in self._processes.items():
            if other != process:
                notify(taken)

    def ids(self) -> list[tuple[str, float]]:
        """The ids that are held, with the times when each was received in milliseconds, oldest first."""
        return [(trace.decode("latin-1"), received_ms) for trace, received_ms in self._received_ms.items()]
