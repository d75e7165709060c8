"""The transport of a balancer's captures: requests go to peers, reports to the owner of the duty. Pure logic."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larkweir_captures.ports import Transport

from larkweir.coordination.captures.recorder import OWNER


class CaptureTransport:
    """A `larkweir_captures.ports.Transport`. A report waits until the duty takes it; a newer one replaces it."""

    def __init__(self) -> None:
        self.peers: Transport | None = None  # None where peers are off
        self.on_report: Callable[[], None] = lambda: None  # called when a report waits
        self._report = b""

    def post(self, to: str, item: bytes) -> bool:
        """Send a message to a peer, or keep a report for the owner. Returns whether it was sent or kept."""
        if to == OWNER:
            self._report = item
            self.on_report()
            return True
        return self.peers is not None and self.peers.post(to, item)

    def alive(self) -> Sequence[str]:
        """The peers believed to be alive."""
        return self.peers.alive() if self.peers is not None else ()

    def take_report(self) -> bytes:
        """Remove and return the newest report; empty if there is none."""
        item, self._report = self._report, b""
        return item
