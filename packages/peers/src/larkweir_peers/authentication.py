"""Which datagrams are authentic (keyed BLAKE2b, RFC 7693 section 2.9), and which have been here before."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest

from larkweir_peers.messages import TAG_BYTES

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes
MAX_KEYS = 4


class DatagramAuthenticator:
    """Signs with the first key and believes each, so that keys can be changed one process after the other. The tag
    covers the receiver's name: what was meant for one is worth nothing to another.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        """ValueError where a key is too short or too long, or there are too many. None: nothing is signed."""
        if len(keys) > MAX_KEYS:
            raise ValueError(f"{len(keys)} keys; {MAX_KEYS} at the most")
        for key in keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(f"a key of {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} will do")
        self.keys = tuple(keys)

    @staticmethod
    def _tag(key: bytes, receiver: bytes, data: bytes) -> bytes:
        return blake2b(receiver + data, digest_size=TAG_BYTES, key=key, person=b"larkweir.peers.1").digest()

    def sign(self, receiver: bytes, data: bytes) -> bytes:
        """The frame with its tag. `to`: the receiver's six bytes."""
        return data + self._tag(self.keys[0], receiver, data) if self.keys else data

    def verify(self, receiver: bytes, data: bytes) -> bytes | None:
        """The frame without its tag; None where no key has made the tag for this receiver."""
        if not self.keys:
            return data
        message, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if len(tag) == TAG_BYTES and any(
            compare_digest(tag, self._tag(key, receiver, message)) for key in self.keys
        ):
            return message
        return None


class ReplayWindow:
    """The numbers that have come in one life of one peer, as in RFC 4303 section 3.4.3. A number that is further back
    than the window is taken for one that was here.
    """

    __slots__ = ("_highest", "_seen_bits", "process_start_ms")

    SIZE = 1024

    def __init__(self) -> None:
        self.process_start_ms = 0
        self._highest = -1
        self._seen_bits = 0

    def check(self, process_start_ms: int, number: int) -> str:
        """Why a datagram is dropped: `former_life`, `late` or `again`; empty, and the number is kept, if it is new."""
        if process_start_ms < self.process_start_ms:
            return "former_life"
        if process_start_ms > self.process_start_ms:
            self.process_start_ms, self._highest, self._seen_bits = process_start_ms, -1, 0
        ahead = number - self._highest
        if ahead > 0:
            self._seen_bits = (
                (self._seen_bits << ahead | 1) & ((1 << self.SIZE) - 1) if ahead < self.SIZE else 1
            )
            self._highest = number
            return ""
        if -ahead >= self.SIZE:
            return "late"
        if self._seen_bits >> -ahead & 1:
            return "again"
        self._seen_bits |= 1 << -ahead
        return ""
