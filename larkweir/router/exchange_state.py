"""The states of one exchange (a client's request and the response to it) and the transitions between them."""

from __future__ import annotations

from enum import Enum


class ExchangeState(Enum):
    """The states of an exchange. The values appear in the debug log (field `state`)."""

    NEW = "new"
    ADMITTING = "admitting"  # waiting for a decision on the tenant's quota
    PLACING = "placing"  # waiting for a controller to say which engine owns the prompt's prefix
    CONNECTING = "connecting"  # to an upstream; nothing has been sent yet
    AWAITING = "awaiting"  # the request has been sent; no response head has arrived
    DISCARDING = "discarding"  # a response that is not relayed is being read to its end
    RELAYING = "relaying"  # the response is being relayed to the client
    DONE = "done"


TRANSITIONS: dict[ExchangeState, frozenset[ExchangeState]] = {
    ExchangeState.NEW: frozenset((ExchangeState.ADMITTING, ExchangeState.DONE)),
    ExchangeState.ADMITTING: frozenset((ExchangeState.PLACING, ExchangeState.CONNECTING, ExchangeState.DONE)),
    ExchangeState.PLACING: frozenset((ExchangeState.CONNECTING, ExchangeState.DONE)),
    ExchangeState.CONNECTING: frozenset(
        (ExchangeState.CONNECTING, ExchangeState.AWAITING, ExchangeState.DONE)
    ),
    ExchangeState.AWAITING: frozenset(
        (ExchangeState.CONNECTING, ExchangeState.DISCARDING, ExchangeState.RELAYING, ExchangeState.DONE)
    ),
    ExchangeState.DISCARDING: frozenset((ExchangeState.CONNECTING, ExchangeState.DONE)),
    ExchangeState.RELAYING: frozenset((ExchangeState.CONNECTING, ExchangeState.DONE)),
    ExchangeState.DONE: frozenset(),
}
"""The states that may follow each state. The docstring of `Exchange._transition` explains each transition."""
