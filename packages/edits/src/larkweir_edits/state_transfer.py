"""A whole state in pieces, for a copy that asks for what is in the base by now."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from typing import Protocol

from larkweir_edits import digests
from larkweir_edits.digests import Item, Offer, Piece, PieceRequest
from larkweir_edits.edit import EditError
from larkweir_edits.schema import Schema
from larkweir_edits.snapshot import dumped, loaded
from larkweir_edits.state import State

FETCH_TIMEOUT_MS = 20_000.0  # without a piece, after which a state is given up
MAX_PIECES = 100_000
MAX_REQUESTED_PIECES = 96  # asked for at a time


class Channel(Protocol):
    """A channel to the other copies: what is posted may be lost, late or doubled."""

    def post(self, to: str, item: bytes) -> bool:
        """Send an item to a replica; False where it was not sent."""

    def alive(self) -> Sequence[str]:
        """The replicas that are believed to be alive."""


class StateTransfer:
    """One is offered and one is fetched at a time. `max_item_bytes` is the size of an item."""

    def __init__(self, schema: Schema, channel: Channel, max_item_bytes: int) -> None:
        self._schema, self._channel, self._max_item_bytes = schema, channel, max_item_bytes
        self._offer: tuple[bytes, list[bytes], float] | None = None  # hash, pieces, when it was made
        self._fetch: tuple[str, bytes, list[bytes | None], float] | None = None

    def _post(self, to: str, item: Item) -> bool:
        return self._channel.post(to, digests.packed(item))

    def offer(self, to: str, state: State, writer: str, count: int, now_ms: float) -> None:
        """To one who asked for an edit that is in the base."""
        if self._offer is None or now_ms - self._offer[2] >= FETCH_TIMEOUT_MS:
            data = dumped(state)
            size = self._max_item_bytes - 30
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self._offer = (blake2b(data, digest_size=8).digest(), pieces, now_ms)
        self._post(to, Offer(state.origin, self._offer[0], len(self._offer[1]), writer, count))

    def on_offer(self, source: str, message: Offer, state: State, now_ms: float) -> None:
        """Another replica offers its state: fetch it where it has what is lacking here."""
        busy = self._fetch is not None and now_ms - self._fetch[3] < FETCH_TIMEOUT_MS
        late = state.vector.get(message.writer, 0) >= message.count  # it is had by now
        wanted = not late if message.origin == state.origin else not state.vector
        if busy or not wanted or not 0 < message.pieces <= MAX_PIECES:
            return
        self._fetch = (source, message.hash, [None] * message.pieces, now_ms)
        self.request_pieces(now_ms)

    def request_pieces(self, now_ms: float) -> bool:
        """Ask for what is lacking of a state; whether one is on its way."""
        if self._fetch is None:
            return False
        source, name, pieces, since = self._fetch
        if now_ms - since >= FETCH_TIMEOUT_MS:
            self._fetch = None
            return False
        lacking = [n for n, piece in enumerate(pieces) if piece is None][:MAX_REQUESTED_PIECES]
        for group in digests.filled(((3, n) for n in lacking), self._max_item_bytes - 20):
            self._post(source, PieceRequest(name, group))
        return True

    def on_piece_request(self, source: str, message: PieceRequest) -> None:
        """Send pieces of the state that was offered."""
        if self._offer is None or self._offer[0] != message.hash:
            return
        for number in message.pieces[:MAX_REQUESTED_PIECES]:
            if 0 <= number < len(self._offer[1]):
                self._post(source, Piece(message.hash, number, self._offer[1][number]))

    def on_piece(self, source: str, message: Piece, now_ms: float) -> bytes:
        """The whole state, with the last piece."""
        if self._fetch is None or (source, message.hash) != self._fetch[:2]:
            return b""
        pieces = self._fetch[2]
        if not 0 <= message.number < len(pieces) or pieces[message.number] is not None:
            return b""
        pieces[message.number] = message.data
        self._fetch = (*self._fetch[:3], now_ms)
        got = sum(piece is not None for piece in pieces)
        if got < len(pieces):
            if got % MAX_REQUESTED_PIECES == 0:
                self.request_pieces(now_ms)
            return b""
        self._fetch = None
        data = b"".join(piece for piece in pieces if piece is not None)
        try:
            if blake2b(data, digest_size=8).digest() != message.hash:
                raise EditError("no state: its hash differs")
            loaded(self._schema, data)
        except EditError:
            return b""
        return data
