"""The exceptions of this package. All derive from `PeersError`, which is a ValueError."""

from __future__ import annotations

from larkweir_peers.drop_reasons import DropReason


class PeersError(ValueError):
    """An address, list of peers, key or argument is invalid. The message is a single line."""


class AddressError(PeersError):
    """A string is not an IPv4 address and port."""


class InvalidKeyError(PeersError):
    """A key has the wrong length, or there are too many keys."""


class MessageDecodeError(PeersError):
    """The bytes are not a valid message. `reason` is the drop counter to increment for the datagram."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class FragmentError(PeersError):
    """A fragment is inconsistent with the item whose id it carries."""


class ItemError(PeersError):
    """An item is too long, or its channel number is out of range."""


class ChannelInUseError(PeersError):
    """The channel already has a handler."""
