"""Why a received datagram or item was dropped. The values are the names under which STATUS counts them."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """A reason, by the name that it has in STATUS."""

    TOO_LONG = "too_long"
    UNLISTED_SOURCE = "stranger"  # from an address that is not listed
    NOT_AUTHENTIC = "forged"  # no key has made its tag
    UNKNOWN_VERSION = "version"
    UNKNOWN_TYPE = "kind"
    MALFORMED = "malformed"
    SENDER_MISMATCH = "not_itself"  # the sender it names is not the address that it came from
    FORMER_INCARNATION = "former_life"  # sent by an earlier process at that address
    TOO_OLD = "late"  # further back than the replay window
    DUPLICATE = "again"
    WRONG_RECEIVER_INCARNATION = "not_this_life"  # meant for an earlier process at this address
    UNEXPECTED_REPLY = "unasked"  # an answer that nothing waited for
    QUEUE_FULL = "full"  # an item for which the queue of received items has no place
    NO_HANDLER = "no_part"  # an item on a channel that nothing here listens on
