"""Items cut into pieces, and pieces put together, bounded in number, bytes and age, for each peer and in all."""

from __future__ import annotations

from dataclasses import dataclass, field

from larkweir_peers.messages import MAX_FRAGMENT_BYTES

_Key = tuple[str, int, int]  # sender, its process start, item


def split_item(item: bytes) -> list[bytes]:
    return [
        item[offset : offset + MAX_FRAGMENT_BYTES] for offset in range(0, len(item), MAX_FRAGMENT_BYTES)
    ] or [b""]


@dataclass(slots=True)
class _PartialItem:
    fragment_count: int
    started_ms: float
    size_bytes: int = 0
    fragments: dict[int, bytes] = field(default_factory=dict)


class Reassembler:
    """Items that are not whole yet. What goes past a bound pushes the oldest out."""

    MAX_ITEMS_PER_PEER = 16  # items of one peer
    MAX_BYTES_PER_PEER = 32_768
    MAX_ITEMS = 256
    MAX_BYTES = 262_144
    MAX_AGE_MS = 5_000.0

    def __init__(self) -> None:
        self._partial: dict[_Key, _PartialItem] = {}  # the oldest first
        self._keys_by_peer: dict[str, dict[_Key, None]] = {}  # a peer's, the oldest first
        self._bytes_by_peer: dict[str, int] = {}  # by peer
        self.buffered_bytes = 0  # bytes in all
        self.dropped = 0  # items given up

    def __len__(self) -> int:
        return len(self._partial)

    def add_fragment(
        self,
        source: str,
        process_start_ms: int,
        item_id: int,
        index: int,
        fragment_count: int,
        data: bytes,
        now_ms: float,
    ) -> bytes | None:
        """The item where this was its last piece. ValueError where the piece can't belong to it."""
        if index >= fragment_count or (index < fragment_count - 1 and len(data) != MAX_FRAGMENT_BYTES):
            raise ValueError("a piece out of place")
        if fragment_count == 1:
            return data
        key = (source, process_start_ms, item_id)
        item = self._partial.get(key)
        if item is None:
            item = self._partial[key] = _PartialItem(fragment_count, now_ms)
            self._keys_by_peer.setdefault(source, {})[key] = None
        if item.fragment_count != fragment_count:
            raise ValueError("a piece of another item")
        if index not in item.fragments:
            item.fragments[index] = data
            item.size_bytes += len(data)
            self.buffered_bytes += len(data)
            self._bytes_by_peer[source] = self._bytes_by_peer.get(source, 0) + len(data)
        if len(item.fragments) == fragment_count:
            self._remove(key)
            return b"".join(item.fragments[n] for n in range(fragment_count))
        self._enforce_limits(source)
        return None

    def expire(self, now_ms: float) -> None:
        while self._partial:
            key, item = next(iter(self._partial.items()))
            if now_ms < item.started_ms + self.MAX_AGE_MS:
                return
            self._evict(key)

    def forget_peer(self, source: str) -> None:
        """A peer that is listed no more: nothing of it is waited for."""
        for key in list(self._keys_by_peer.get(source, ())):
            self._remove(key)

    @property
    def due_ms(self) -> float:
        """When the oldest is given up; infinite where there is none."""
        return (
            next(iter(self._partial.values())).started_ms + self.MAX_AGE_MS if self._partial else float("inf")
        )

    def _enforce_limits(self, source: str) -> None:
        peer_keys = self._keys_by_peer[source]
        while (
            len(peer_keys) > self.MAX_ITEMS_PER_PEER or self._bytes_by_peer[source] > self.MAX_BYTES_PER_PEER
        ):
            self._evict(next(iter(peer_keys)))
        while len(self._partial) > self.MAX_ITEMS or self.buffered_bytes > self.MAX_BYTES:
            self._evict(next(iter(self._partial)))

    def _evict(self, key: _Key) -> None:
        self._remove(key)
        self.dropped += 1

    def _remove(self, key: _Key) -> None:
        item = self._partial.pop(key)
        peer_keys = self._keys_by_peer[key[0]]
        del peer_keys[key]
        self.buffered_bytes -= item.size_bytes
        self._bytes_by_peer[key[0]] -= item.size_bytes
        if not peer_keys:
            del self._keys_by_peer[key[0]], self._bytes_by_peer[key[0]]
