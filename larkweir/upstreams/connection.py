"""The interface of a connection to an upstream, which each protocol implements."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from larkweir.core.ports import Address
from larkweir.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from larkweir.upstreams.attempt_call import AttemptCall


class UpstreamConnection(Protocol):
    """A connection as the pool and the calls on it see it. The implementation is an `asyncio.Protocol` too."""

    upstream: Upstream
    address: Address
    idle_since_ms: float
    reuse_delayed: bool  # its last answer was an attempt's: see `UpstreamPool.REUSE_DELAY_MS`
    listed: bool  # the pool holds it for further calls
    retired: bool  # it leads to a process that is gone, or is not trusted any more: it gets no further call

    @property
    def calls(self) -> int:
        """How many calls it carries."""

    @property
    def room(self) -> int:
        """How many more calls it could carry now."""

    def usable(self) -> bool:
        """Whether it is established, with neither an end nor unread bytes waiting in the system."""

    def abort(self) -> None:
        """Close it at once."""

    def send(self, call: AttemptCall) -> None:
        """Write a call's request."""

    def update_written(self, call: AttemptCall) -> None:
        """Bring up to date whether the call's dividing line may have been crossed (`written`)."""

    def release(self, call: AttemptCall) -> None:
        """The call has ended without an answer, and is to be given up."""
