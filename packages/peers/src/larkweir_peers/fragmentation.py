"""Splits items into fragments that fit into a datagram, and reassembles them."""

from __future__ import annotations

from dataclasses import dataclass, field

from larkweir_peers.errors import FragmentError
from larkweir_peers.messages import MAX_FRAGMENT_BYTES

_Key = tuple[str, int, int]  # sender, its process start, item id


def split_item(item: bytes) -> list[bytes]:
    """Split an item into its fragments, in order. An empty item has one empty fragment."""
    size = MAX_FRAGMENT_BYTES
    return [item[offset : offset + size] for offset in range(0, len(item), size)] or [b""]


@dataclass(slots=True)
class _PartialItem:
    fragment_count: int
    started_ms: float
    size_bytes: int = 0
    fragments: dict[int, bytes] = field(default_factory=dict)


class Reassembler:
    """Holds incomplete items, limited in number, bytes and age. Beyond a limit, the oldest items are evicted."""

    MAX_ITEMS_PER_PEER = 16
    MAX_BYTES_PER_PEER = 32_768
    MAX_ITEMS = 256
    MAX_BYTES = 262_144
    MAX_AGE_MS = 5_000.0

    def __init__(self) -> None:
        self._partial: dict[_Key, _PartialItem] = {}  # oldest first
        self._keys_by_peer: dict[str, dict[_Key, None]] = {}  # oldest first
        self._bytes_by_peer: dict[str, int] = {}
        self.buffered_bytes = 0
        self.dropped = 0  # number of evicted items

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
        """Add a fragment. Returns the item if this was its last missing fragment, else None.

        Raises:
            FragmentError: the fragment is inconsistent with its item.
        """
        if index >= fragment_count or (index < fragment_count - 1 and len(data) != MAX_FRAGMENT_BYTES):
            raise FragmentError("the index or size of a fragment is invalid")
        if fragment_count == 1:
            return data
        key = (source, process_start_ms, item_id)
        item = self._partial.get(key)
        if item is None:
            item = self._partial[key] = _PartialItem(fragment_count, now_ms)
            self._keys_by_peer.setdefault(source, {})[key] = None
        if item.fragment_count != fragment_count:
            raise FragmentError("the fragment count differs from that of earlier fragments of the item")
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
        """Evict the items whose first fragment was received at least `MAX_AGE_MS` ago."""
        while self._partial:
            key, item = next(iter(self._partial.items()))
            if now_ms < item.started_ms + self.MAX_AGE_MS:
                return
            self._evict(key)

    def forget_peer(self, source: str) -> None:
        """Remove the items of a peer that is no longer listed; they don't count as dropped."""
        for key in list(self._keys_by_peer.get(source, ())):
            self._remove(key)

    @property
    def due_ms(self) -> float:
        """When the oldest item expires; infinity if there is none."""
        if not self._partial:
            return float("inf")
        return next(iter(self._partial.values())).started_ms + self.MAX_AGE_MS

    def _enforce_limits(self, source: str) -> None:
        peer_keys, peer_bytes = self._keys_by_peer[source], self._bytes_by_peer
        while len(peer_keys) > self.MAX_ITEMS_PER_PEER or peer_bytes[source] > self.MAX_BYTES_PER_PEER:
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
