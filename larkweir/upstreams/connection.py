"""The interface of a connection to an upstream, which each protocol implements."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larkweir.core.ports import Address
from larkweir.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from larkweir.upstreams.attempt_call import AttemptCall


class UpstreamConnection(Protocol):
    """The interface that the pool and the calls use. Implementations are also `asyncio.Protocol`s."""

    upstream: Upstream
    address: Address
    idle_since_ms: float
    reuse_delayed: bool  # its last answer was an attempt's: see `UpstreamPool.REUSE_DELAY_MS`
    listed: bool  # it is in the pool's table of idle connections
    retired: bool  # its process is gone, or the connection is no longer trusted: it gets no further call

    @property
    def calls(self) -> int:
        """How many calls it carries."""

    @property
    def room(self) -> int:
        """How many additional calls it could carry now."""

    def usable(self) -> bool:
        """Whether it is established, with no end of the connection and no unread bytes pending in the system."""

    def abort(self) -> None:
        """Close it at once."""

    def send(self, call: AttemptCall) -> None:
        """Write a call's request."""

    def update_written(self, call: AttemptCall) -> None:
        """Update the call's `written`: whether its dividing line may have been crossed."""

    def release(self, call: AttemptCall) -> None:
        """The call has ended. If this connection still carries it, it has no complete answer: give it up."""
