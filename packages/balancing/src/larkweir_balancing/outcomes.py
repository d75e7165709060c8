"""States of servers, outcomes of attempts and kinds of server lists, as the platform's protocol defines them."""

from __future__ import annotations

from enum import Enum, IntEnum


class ServerState(IntEnum):
    """The state of a server according to discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How one attempt or probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # the server had no free slot and refused it; it never ran
    TIMEOUT = 3  # no answer in time; it may have run, or still be running
    CONNECT_FAILED = 4  # no connection; it never ran
    RESET = 5  # connection lost; it may have run
    CANCELLED = 6  # cancelled by us; it may have run
    MOOT = 7  # never sent; it never ran
    REJECTED = 8  # the server says that the request is invalid; says nothing about the server's health


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class ListKind(Enum):
    """What a list event contains."""

    FULL = "full"  # the complete list: a server that is not in it is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the complete list as last known; may be outdated
    # Entries of servers known only from an earlier list, updated by what was observed of them; not from discovery.
    PROOF = "proof"
    FAILED = "failed"  # a call to discovery failed or the subscription was lost; no entries
