"""Why a received datagram or item was dropped. The values are the names of the counters in STATUS."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """The reason for a drop; its value is the name of the counter in STATUS."""

    TOO_LONG = "too_long"
    UNLISTED_SOURCE = "stranger"  # the source address is not in the list of peers
    NOT_AUTHENTIC = "forged"  # its tag matches none of the keys
    UNKNOWN_VERSION = "version"
    UNKNOWN_TYPE = "kind"
    MALFORMED = "malformed"
    SENDER_MISMATCH = "not_itself"  # the sender in the message is not the source address
    FORMER_INCARNATION = "former_life"  # sent by an earlier process at the source address
    TOO_OLD = "late"  # its sequence number is below the replay window
    DUPLICATE = "again"
    WRONG_RECEIVER_INCARNATION = "not_this_life"  # addressed to an earlier process at this address
    UNEXPECTED_REPLY = "unasked"  # an ack or nack without a matching request
    QUEUE_FULL = "full"  # the queue of received items is full
    NO_HANDLER = "no_part"  # the item's channel has no handler
