"""The interfaces through which the core uses higher-level packages. Implementations are passed in, never imported.

Pure logic. Times are milliseconds of the balancer's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from larkweir_balancing.interface import (
    Action,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
)

from larkweir.config.platform import Address as Address
from larkweir.core.message import Headers, Message


@dataclass(slots=True, frozen=True)
class Listing:
    """One message of discovery: the entries, and each entry's address at the same index."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]
    addresses: tuple[Address, ...]


class Decisions(Protocol):
    """The load-balancing decisions: `larkweir_balancing.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event; returns the actions to execute, in order, at the same time."""


class Attempt(Protocol):
    """An attempt or health check that is in flight."""

    @property
    def written_ms(self) -> float:
        """When it was written to a connection; 0 if it has not been written."""

    @property
    def connect_ms(self) -> float:
        """How long establishing its connection took, minus the time that this process may have added. 0 if it reused a
        connection.
        """

    def time_out(self) -> None:
        """End it because no answer has arrived in time."""

    def on_body_received(self, until_ms: float) -> None:
        """The request's last byte was received: the call's time runs from now until `until_ms` at the latest."""

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """End it with this outcome. Has no effect after it has ended."""


class CallObserver(Protocol):
    """Is notified of the progress of one call, and exactly once of its end."""

    @property
    def streams(self) -> bool:
        """Whether an answer may be forwarded while it arrives."""

    def no_longer_needed(self) -> bool:
        """Whether the call need not be written any more. This is checked just before the write."""

    def started(self, answer: Message) -> bool:
        """A streamed answer has begun, whose body arrives through `answer.stream`. Returns whether it is accepted."""

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        """The call has ended; `answer` is the complete answer, if there is one."""


class RequestBudget(Protocol):
    """The retry budget of one request, if budgets are on."""

    @property
    def left(self) -> int:
        """How many attempts the request may still cause, in this tier and the tiers below."""

    def grant(self, attempt: int, tries: int, now_ms: float) -> Headers | None:
        """The headers that an attempt carries to the tier below, or None if the attempt may not start. `tries`: how
        many attempts the request may still have in this tier.
        """

    def settle(self, attempt: int, outcome: Outcome, answer: Message | None, now_ms: float) -> None:
        """An attempt has ended: account for its cost."""

    def closing(self, status: int) -> Headers:
        """Close the budget; returns its headers for the final answer."""


class Baggage(Protocol):
    """A header field that is propagated with one request through the tiers, beside its budget."""

    def down(self) -> bytes:
        """The field's value in an attempt to the tier below."""

    def on_answer(self, text: bytes | None, ran: bool) -> None:
        """An attempt has ended. `text`: the field's value in its answer. `ran`: it may have reached the tier below."""

    def up(self) -> bytes:
        """The field's value in the final answer."""

    def closed(self, status: int) -> None:
        """The request has been answered, or its client is gone."""


class BaggagePropagator(Protocol):
    """A component that propagates a header field of its own with requests, between the tiers whose budget headers are
    trusted.
    """

    @property
    def name(self) -> bytes:
        """The name of the header, as it is written."""

    def baggage_for(self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float) -> Baggage:
        """The baggage of a request that has arrived. `came`: the value of its header."""


class Budgets(Protocol):
    """The retry budgets of all requests. Only this component reads and writes the budget headers."""

    @property
    def way_back_ms(self) -> float:
        """How long an answer takes from an upstream to the caller."""

    @property
    def own(self) -> tuple[bytes, ...]:
        """The prefixes, in lower case, of the headers in upstreams' answers that are never forwarded."""

    def carry(self, rider: BaggagePropagator) -> None:
        """Propagate an additional field, for another component."""

    def arrive(
        self, peer: str, message: Message, event: RequestArrived, now_ms: float, trace: bytes = b""
    ) -> RequestBudget | Headers:
        """The budget of a request that has arrived, or the headers of its refusal."""

    def looped(self, peer: str, message: Message) -> Headers | None:
        """The headers of a refusal if a request that is open here has returned through the tiers (a loop), or None."""


class UpstreamInfo(Protocol):
    """One upstream, as described by the last message of discovery that named it."""

    @property
    def number(self) -> int:
        """The number by which the decisions refer to it."""

    @property
    def address(self) -> Address:
        """The address on which it listens."""

    @property
    def state(self) -> ServerState:
        """Whether it is ready, draining or gone."""

    @property
    def started_ms(self) -> float:
        """When it was started; 0 means long ago."""

    @property
    def process(self) -> object:
        """Identifies the upstream's process. It is replaced by a new object when discovery names another process."""


class Pool(Protocol):
    """The upstreams and the calls to them."""

    @property
    def targets(self) -> Mapping[int, UpstreamInfo]:
        """The upstreams by their numbers."""

    def update(
        self, number: int, address: Address, state: ServerState, started_ms: float, kind: int = 0
    ) -> None:
        """Apply what discovery reports of one upstream. `kind` is the number of its machine type in the settings."""

    def call(
        self,
        target: int,
        message: Message,
        until_ms: float,
        observer: CallObserver,
        probe: bool = False,
        extra: Headers | None = None,
        margin_ms: float = 0.0,
        patience_ms: float = 0.0,
        write_by_ms: float = math.inf,
    ) -> Attempt | None:
        """Start a call, which ends at `until_ms` at the latest. Returns None if the upstream is unknown.

        While the request's body is still arriving, `until_ms` is infinite, and `patience_ms` limits the wait for the
        answer, counted from the body's last byte. The last byte is not written after `write_by_ms`; the call ends as
        never sent instead. `extra`: headers of this call only. `margin_ms`: the part of the call's time that is
        reserved for returning the answer to the caller.
        """

    def close_idle(self, number: int) -> None:
        """Close an upstream's connections that carry no call."""


class DurableState(Protocol):
    """State that survives a crash: the requests that must not run twice."""

    def began(self, trace: bytes, then: Callable[[], None], memory_ms: float = 0.0) -> None:
        """A request that must not run twice is about to be sent for the first time. `then` is called when that has
        been recorded on disk. Servers recognize and drop repeats of the request for `memory_ms`.
        """

    def ended(self, trace: bytes) -> None:
        """Such a request has been answered, and no attempt of it is in flight."""


class AnswerVerifier(Protocol):
    """Checks by the answers of an upstream that was restored from disk whether it is reachable and the expected one."""

    def ended(self, server: int, outcome: Outcome, answer: Message | None, probe: bool = False) -> bool:
        """An attempt has ended. Returns whether its answer is valid; an answer of another upstream is not."""

    def begun(self, server: int, answer: Message) -> bool:
        """A streamed answer has begun. Returns whether it is valid."""


class Membership(Protocol):
    """Discovery, as controlled by the decisions."""

    begun: bool  # the first list has arrived, or is no longer waited for

    def fetch(self) -> None:
        """Request the complete list once."""

    def watch(self, active: bool) -> None:
        """Start or stop the subscription to changes."""
