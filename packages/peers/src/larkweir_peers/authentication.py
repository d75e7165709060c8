"""Datagrams are authenticated by a keyed BLAKE2b tag (RFC 7693 section 2.9)."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest

from larkweir_peers.errors import InvalidKeyError
from larkweir_peers.messages import TAG_BYTES

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS = 4


class DatagramAuthenticator:
    """Signs with the first key and accepts every key, so that keys can be rotated process by process.

    The tag covers the receiver's address: a datagram for one peer is not authentic for another.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Without keys nothing is signed, and everything is accepted.

        Raises:
            InvalidKeyError: a key is too short or too long, or there are more than `MAX_KEYS`.
        """
        if len(keys) > MAX_KEYS:
            raise InvalidKeyError(f"{len(keys)} keys; {MAX_KEYS} at the most")
        for key in keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise InvalidKeyError(
                    f"a key of {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} will do"
                )
        self.keys = tuple(keys)

    @staticmethod
    def _tag(key: bytes, receiver: bytes, data: bytes) -> bytes:
        return blake2b(receiver + data, digest_size=TAG_BYTES, key=key, person=b"larkweir.peers.1").digest()

    def sign(self, receiver: bytes, data: bytes) -> bytes:
        """The datagram: `data` with its tag. `receiver`: the packed address that it is sent to."""
        return data + self._tag(self.keys[0], receiver, data) if self.keys else data

    def verify(self, receiver: bytes, data: bytes) -> bytes | None:
        """A datagram without its tag; None where no key has made the tag for this receiver."""
        if not self.keys:
            return data
        message, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if len(tag) == TAG_BYTES and any(
            compare_digest(tag, self._tag(key, receiver, message)) for key in self.keys
        ):
            return message
        return None
