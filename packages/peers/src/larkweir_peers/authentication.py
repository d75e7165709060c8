"""Authenticates datagrams by a keyed BLAKE2b tag (RFC 7693 section 2.9)."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest

from larkweir_peers.errors import InvalidKeyError
from larkweir_peers.messages import TAG_BYTES

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS = 4


class DatagramAuthenticator:
    """Signs with the first key and accepts tags of any key, so that keys can be rotated one process at a time.

    The tag covers the receiver's address, so a datagram for one peer is not authentic for another.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Without keys, datagrams are not signed and all are accepted.

        Raises:
            InvalidKeyError: a key is too short or too long, or there are more than `MAX_KEYS`.
        """
        if len(keys) > MAX_KEYS:
            raise InvalidKeyError(f"{len(keys)} keys are configured; the maximum is {MAX_KEYS}")
        for key in keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise InvalidKeyError(
                    f"a key has {len(key)} bytes; it must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
                )
        self.keys = tuple(keys)

    @staticmethod
    def _tag(key: bytes, receiver: bytes, data: bytes) -> bytes:
        return blake2b(receiver + data, digest_size=TAG_BYTES, key=key, person=b"larkweir.peers.1").digest()

    def sign(self, receiver: bytes, data: bytes) -> bytes:
        """Return `data` with its tag appended. `receiver` is the packed address that the datagram is sent to."""
        return data + self._tag(self.keys[0], receiver, data) if self.keys else data

    def verify(self, receiver: bytes, data: bytes) -> bytes | None:
        """Return the datagram without its tag, or None if the tag is not valid for this receiver under any key."""
        if not self.keys:
            return data
        message, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if len(tag) == TAG_BYTES and any(
            compare_digest(tag, self._tag(key, receiver, message)) for key in self.keys
        ):
            return message
        return None
