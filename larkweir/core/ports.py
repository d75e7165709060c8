"""The interfaces that the core needs of the packages above it, which are passed in: the core imports none of them.

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
    """One message of discovery: the entries, and the address of each at the same index."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]
    addresses: tuple[Address, ...]


class Decisions(Protocol):
    """The load-balancing decisions: `larkweir_balancing.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""


class Attempt(Protocol):
    """An attempt or health check that is in flight."""

    @property
    def written_ms(self) -> float:
        """When it was written to a connection; 0 if it was not."""

    @property
    def connect_ms(self) -> float:
        """How long its own connection took to be established, less the time that this process may have added."""

    def time_out(self) -> None:
        """End it: no answer came in time."""

    def on_body_received(self, until_ms: float) -> None:
        """The request's last byte was received: its time runs from now on, until `until_ms` at the latest."""

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """End it with this outcome; without effect once it has ended."""


class CallObserver(Protocol):
    """Is told of the progress of one call, and once of its end."""

    @property
    def streams(self) -> bool:
        """Whether an answer may be forwarded while it arrives."""

    def no_longer_needed(self) -> bool:
        """Whether the call need not be written any more. It is asked just before that."""

    def started(self, answer: Message) -> bool:
        """A long answer has begun, and its body arrives by `answer.stream`; returns whether anybody accepts it."""

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        """The call has ended; `answer` is what it ended with, if anything."""


class RequestBudget(Protocol):
    """The retry budget of one request, where budgets are on."""

    @property
    def left(self) -> int:
        """How many attempts it may still cause, in this tier and those below."""

    def grant(self, attempt: int, tries: int, now_ms: float) -> Headers | None:
        """The headers that an attempt carries to the tier below; None if it may not begin. `tries`: how many attempts
        the request may still have here.
        """

    def settle(self, attempt: int, outcome: Outcome, answer: Message | None, now_ms: float) -> None:
        """An attempt has ended: account for what it has cost."""

    def closing(self, status: int) -> Headers:
        """The headers that go back with the final answer."""


class Baggage(Protocol):
    """A field that travels with one request through the tiers, beside its budget."""

    def down(self) -> bytes:
        """Its value for an attempt, to the tier below."""

    def on_answer(self, text: bytes | None, ran: bool) -> None:
        """An attempt has ended: the value that came back with its answer. `ran`: it may have reached the tier below."""

    def up(self) -> bytes:
        """Its value in the final answer."""

    def closed(self, status: int) -> None:
        """The request has its one final answer, or its client is gone."""


class BaggagePropagator(Protocol):
    """A component that has a field of its own travel with requests, between the tiers that budgets trust."""

    @property
    def name(self) -> bytes:
        """The name of the header, as it is written."""

    def baggage_for(self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float) -> Baggage:
        """A request has arrived, with this value of the header."""


class Budgets(Protocol):
    """The retry budgets of all requests. Their headers are read and written here alone."""

    @property
    def way_back_ms(self) -> float:
        """How long an answer takes from an upstream to the caller."""

    @property
    def own(self) -> tuple[bytes, ...]:
        """The prefixes, in lower case, of headers of upstreams' answers that are never forwarded."""

    def carry(self, rider: BaggagePropagator) -> None:
        """Propagate one more field, for one other component."""

    def arrive(
        self, peer: str, message: Message, event: RequestArrived, now_ms: float, trace: bytes = b""
    ) -> RequestBudget | Headers:
        """The budget of a request that has arrived, or the headers of its refusal."""

    def looped(self, peer: str, message: Message) -> Headers | None:
        """The headers of a refusal, where a request whose id is open here has come back through the tiers (a loop);
        None where it has not.
        """


class UpstreamInfo(Protocol):
    """One upstream, as in the last message of discovery that named it."""

    @property
    def number(self) -> int:
        """Its number in the decisions."""

    @property
    def address(self) -> Address:
        """Where it listens."""

    @property
    def state(self) -> ServerState:
        """Whether it is ready, draining or gone."""

    @property
    def started_ms(self) -> float:
        """Since when it has run; 0 means long ago."""

    @property
    def process(self) -> object:
        """Identifies the process behind it: another object once discovery names another process."""


class Pool(Protocol):
    """The upstreams and the calls to them."""

    @property
    def targets(self) -> Mapping[int, UpstreamInfo]:
        """The upstreams by their numbers."""

    def update(
        self, number: int, address: Address, state: ServerState, started_ms: float, kind: int = 0
    ) -> None:
        """Apply what discovery says of one upstream. `kind` is its machine type, as the settings number it."""

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
        """Begin a call, which ends at `until_ms` at the latest; None if there is no such upstream. While the request's
        body is still arriving, `until_ms` is infinite, and `patience_ms` is how long the answer is waited for from its
        last byte on. That byte is not written after `write_by_ms`: the call ends as never sent. `extra`: headers of
        this call alone. `margin_ms`: of its time, what the way back takes.
        """

    def close_idle(self, number: int) -> None:
        """Close an upstream's connections that carry no call."""


class DurableState(Protocol):
    """State that survives a crash: the requests that must not run twice."""

    def began(self, trace: bytes, then: Callable[[], None], memory_ms: float = 0.0) -> None:
        """A request that must not run twice is about to be sent for the first time; `then` is called once that is on
        disk. A server drops its repeats for `memory_ms`.
        """

    def ended(self, trace: bytes) -> None:
        """Such a request is answered, and no attempt of it is in flight."""


class AnswerVerifier(Protocol):
    """Checks by its answers whether an upstream that was restored from disk is there, and is the one that is meant."""

    def ended(self, server: int, outcome: Outcome, answer: Message | None, probe: bool = False) -> bool:
        """An attempt has ended; returns whether its answer counts. That of another upstream does not."""

    def begun(self, server: int, answer: Message) -> bool:
        """A long answer has begun; returns whether it counts."""


class Membership(Protocol):
    """Discovery, as the decisions ask for it."""

    begun: bool  # whether its first list is there, or is not waited for any longer

    def fetch(self) -> None:
        """Ask for the complete list, once."""

    def watch(self, active: bool) -> None:
        """Begin or end the subscription to changes."""
