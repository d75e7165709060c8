"""The states of one exchange (a client's request and the response to it) and the transitions between them."""

from __future__ import annotations

from enum import Enum


class ExchangeState(Enum):
    """Where a request stands. The values appear in the debug log (field `state`)."""

    NEW = "new"
    ADMITTING = "admitting"  # a controller is asked for units of the tenant's quota
    PLACING = "placing"  # a controller is asked which engine owns the prompt's prefix
    CONNECTING = "connecting"  # to an upstream; nothing has been sent yet
    AWAITING = "awaiting"  # the request has been sent; no response head has arrived
    DISCARDING = "discarding"  # a response that is not relayed is read to its end
    RELAYING = "relaying"  # the response is passed on to the client
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
"""For each state those that may follow it; the docstring of `Exchange._transition` says when."""
