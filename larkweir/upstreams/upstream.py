"""One upstream, as described by the last message of discovery that named it. Pure logic."""

from __future__ import annotations

from dataclasses import dataclass, field

from larkweir_balancing.interface import ServerState

from larkweir.core.ports import Address


@dataclass(slots=True)
class Upstream:
    """One upstream. Times are milliseconds of the balancer's clock."""

    number: int
    address: Address
    state: ServerState
    started_ms: float
    kind: int = 0
    # When discovery first reported it as draining or gone; 0 while it is ready.
    draining_since_ms: float = 0.0
    drain_ends_ms: float = 0.0  # after this time no new call may be sent to it; 0 while it is ready
    # Identifies the upstream's process. It is replaced by a new object when discovery names another process.
    process: object = field(default_factory=object, compare=False)

    def move(
        self, address: Address, state: ServerState, started_ms: float, now_ms: float, drain_grace_ms: float
    ) -> bool:
        """Apply what discovery reports. Returns whether existing connections still lead to the same process."""
        same = self.address == address and (self.started_ms == started_ms or state is not ServerState.READY)
        if state is ServerState.READY:
            self.draining_since_ms = self.drain_ends_ms = 0.0
        elif self.state is ServerState.READY or not self.draining_since_ms:
            self.draining_since_ms = now_ms  # the grace period starts with the first message about the drain
            self.drain_ends_ms = now_ms + drain_grace_ms
        self.address, self.state, self.started_ms = address, state, started_ms
        if not same:
            self.process = object()
        return same

    def shorten_drain(self, drain_grace_ms: float) -> None:
        """Apply a new grace period to a drain that has begun. The drain can only end earlier than before."""
        if self.draining_since_ms:
            self.drain_ends_ms = min(self.drain_ends_ms, self.draining_since_ms + drain_grace_ms)

    def drain_expired(self, now_ms: float) -> bool:
        """Whether its drain's grace period has ended, so that no new call may be sent to it."""
        return bool(self.draining_since_ms) and now_ms >= self.drain_ends_ms
