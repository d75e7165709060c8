"""The exceptions of this package: `PeersError` is the root of all of them, and each is a ValueError."""

from __future__ import annotations

from larkweir_peers.drop_reasons import DropReason


class PeersError(ValueError):
    """An address, a list of peers, a key or an argument that can't be used; the message is one line."""


class AddressError(PeersError):
    """A text that is not an IPv4 address and port."""


class InvalidKeyError(PeersError):
    """A key of the wrong length, or too many keys."""


class MessageDecodeError(PeersError):
    """Bytes that are not a message. `reason`: what the datagram is to be counted under."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class FragmentError(PeersError):
    """A fragment that can't belong to the item that it names."""


class ItemError(PeersError):
    """An item that is too long, or a channel out of bounds."""


class ChannelInUseError(PeersError):
    """A channel that has its handler already."""
