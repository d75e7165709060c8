"""What copies say to one another to find what either lacks, and how it is packed.

Each tells the hash of its version vector, in sixteen ranges by writer (after Demers et al., "Epidemic Algorithms for
Replicated Database Maintenance", 1987, and Merkle's trees, one level deep). Ranges that differ are told in full.
What is lacking is asked for, never pushed, so that nobody is sent an edit by two at a time.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from hashlib import blake2b
from typing import Any

import msgspec

from larkweir_edits.edit import MAX_TEXT_CHARS

RANGES = 16
MAX_ITEM_BYTES = 8 * 1024  # bytes, that a channel takes
MAX_SPANS = 32  # gaps of one writer that are told
SHORT_HASH_BYTES = 2  # bytes of a range's hash on the wire


class Sum(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """The hash of all that is applied, and of each range. `fresh`: nothing ever was."""

    origin: bytes
    fresh: bool
    total: bytes
    ranges: bytes


class Have(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """All that is had of the writers of some ranges between two names (after `low`, up to `high`, "" for no end): up to
    a number, and spans [from, to] past it. `echo` asks for the same back.
    """

    origin: bytes
    echo: bool
    ranges: list[int]
    low: str
    high: str
    writers: dict[str, list[int]]


class EditRequest(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Edits that are lacking: by writer, spans [from, to]."""

    origin: bytes
    spans: dict[str, list[int]]


class Edits(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Edits of one writer that were requested."""

    origin: bytes
    writer: str
    edits: list[bytes]


class Offer(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """What was asked for (an edit of a writer) is in the base by now: a whole state, in so many pieces, by its hash."""

    origin: bytes
    hash: bytes
    pieces: int
    writer: str
    count: int


class PieceRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Requests pieces of an offered state, named by its hash."""

    hash: bytes
    pieces: list[int]


class Piece(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """A piece of an offered state, named by its hash."""

    hash: bytes
    number: int
    data: bytes


Item = Sum | Have | EditRequest | Edits | Offer | PieceRequest | Piece
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Item] = msgspec.msgpack.Decoder(Item)


def packed(item: Item) -> bytes:
    """The bytes of an item on the channel."""
    return _ENCODER.encode(item)


def unpacked(data: bytes) -> Item | None:
    """An item from outside; None where it is none that is known."""
    if len(data) > MAX_ITEM_BYTES:
        return None
    try:
        item = _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError, ValueError):
        return None
    if isinstance(item, Sum) and (len(item.total) != 8 or len(item.ranges) != RANGES * SHORT_HASH_BYTES):
        return None
    if isinstance(item, Have) and not all(0 <= number < RANGES for number in item.ranges):
        return None
    if isinstance(item, Have | EditRequest):
        content = item.writers if isinstance(item, Have) else item.spans
        odd = 1 if isinstance(item, Have) else 0
        for writer, numbers in content.items():
            if len(writer) > MAX_TEXT_CHARS or len(numbers) % 2 != odd or len(numbers) > 2 * MAX_SPANS + 1:
                return None
            if any(not 0 <= number < 1 << 53 for number in numbers):
                return None
    return item


def range_of(writer: str) -> int:
    """The range that a writer belongs to."""
    return blake2b(writer.encode(), digest_size=1).digest()[0] % RANGES


class Digest:
    """The hashes of a version vector that grows."""

    def __init__(self, vector: Mapping[str, int]) -> None:
        self._range: dict[str, int] = {}
        self._counts_by_range: list[dict[str, int]] = [{} for _ in range(RANGES)]
        self._hashes: list[bytes] = [b""] * RANGES
        self._total = b""
        for writer, count in vector.items():
            self.put(writer, count)

    def put(self, writer: str, count: int) -> None:
        """The vector has this count of a writer now."""
        place = self._range.get(writer)
        if place is None:
            place = self._range[writer] = range_of(writer)
        self._counts_by_range[place][writer] = count
        self._hashes[place] = self._total = b""

    def _hash(self, place: int) -> bytes:
        if not self._hashes[place]:
            content = _ENCODER.encode(sorted(self._counts_by_range[place].items()))
            self._hashes[place] = blake2b(content, digest_size=8).digest()
        return self._hashes[place]

    @property
    def total(self) -> bytes:
        """The hash of the whole vector."""
        if not self._total:
            self._total = blake2b(b"".join(map(self._hash, range(RANGES))), digest_size=8).digest()
        return self._total

    @property
    def ranges(self) -> bytes:
        """The shortened hashes of all ranges, one after another."""
        return b"".join(self._hash(place)[:SHORT_HASH_BYTES] for place in range(RANGES))

    def differ(self, ranges: bytes) -> list[int]:
        """Those that are not the same, where another's total is not."""
        found = [
            place
            for place in range(RANGES)
            if self._hash(place)[:SHORT_HASH_BYTES]
            != ranges[place * SHORT_HASH_BYTES : (place + 1) * SHORT_HASH_BYTES]
        ]
        return found or list(range(RANGES))  # short hashes may be the same by chance

    def writers(self, ranges: Iterable[int], low: str = "", high: str = "") -> list[str]:
        """In order, of those between two names."""
        found = [writer for place in set(ranges) for writer in self._counts_by_range[place]]
        return sorted(writer for writer in found if writer > low and (not high or writer <= high))


def spans(counts: Iterable[int], max_count: int = MAX_SPANS) -> list[int]:
    """Numbers as spans [from, to], flat."""
    found: list[int] = []
    for count in sorted(counts):
        if found and found[-1] == count - 1:
            found[-1] = count
        elif len(found) >= 2 * max_count:
            break
        else:
            found += [count, count]
    return found


def counts(flat: Sequence[int], max_count: int) -> Iterator[int]:
    """Back from spans, so many at the most."""
    left = max_count
    for low, high in zip(flat[::2], flat[1::2], strict=False):
        for count in range(low, min(high, low + left - 1) + 1):
            yield count
            left -= 1
        if left <= 0:
            return


def filled(parts: Iterable[tuple[int, Any]], max_bytes: int) -> Iterator[list[Any]]:
    """Things of some size each, in groups of so many bytes; a larger one is alone."""
    group: list[Any] = []
    size = 0
    for length, part in parts:
        if group and size + length > max_bytes:
            yield group
            group, size = [], 0
        group.append(part)
        size += length
    if group:
        yield group
