"""The encoding in which a router is sent the newest configuration.

Every controller sends the newest configuration to routers, often over a slow link, so large updates are compressed.
"""

from __future__ import annotations

from dataclasses import dataclass

from larkweir.cluster.configuration.compression import DEFLATE, compress
from larkweir.cluster.messages import CompressedConfigUpdate, ConfigUpdate, Pull
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.subscriptions import Subscriber

MIN_COMPRESSED_BYTES = 4_096  # asking for encodings takes longer than sending a smaller update


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """The part of a `Delta` that concerns the configuration."""

    config: ConfigUpdate | None = None
    compressed_config: CompressedConfigUpdate | None = None
    wants_encodings: bool = False


class ConfigurationDelivery:
    """Compresses large updates for routers that support it; asks each router for its encodings once a connection."""

    def __init__(self, history: ConfigurationHistory) -> None:
        """`history` provides the updates."""
        self._history = history
        self._compressed: dict[int, CompressedConfigUpdate] = {}  # by base sequence

    def record_encodings(self, subscriber: Subscriber, pull: Pull) -> None:
        """Stores the encodings that a router supports from the first pull after it was asked for them."""
        if subscriber.encodings_requested and subscriber.encodings is None:
            subscriber.encodings = frozenset(pull.encodings)

    def has_update(self, pull: Pull) -> bool:
        """Returns whether a router lacks the newest configuration, and may be able to apply it."""
        return self._history.sequence > max(pull.config_sequence, pull.unusable_config_sequence)

    def answer(self, subscriber: Subscriber, pull: Pull) -> ConfigurationAnswer:
        """Returns the update that a router needs, in an encoding that it supports.

        If the update is large and the router's encodings are unknown, the answer asks for them instead.
        """
        if not self.has_update(pull):
            return ConfigurationAnswer()
        update = self._history.update_from(pull.config_sequence)
        if update is None or len(bytes(update.body)) < MIN_COMPRESSED_BYTES:
            return ConfigurationAnswer(config=update)
        if subscriber.encodings is None:
            subscriber.encodings_requested = True
            return ConfigurationAnswer(wants_encodings=True)
        if DEFLATE in subscriber.encodings:
            return ConfigurationAnswer(compressed_config=self._compress(update))
        return ConfigurationAnswer(config=update)

    def _compress(self, update: ConfigUpdate) -> CompressedConfigUpdate:
        known = self._compressed.get(update.base_sequence)
        if known is None or known.sequence != update.sequence:
            self._compressed = {
                base: other for base, other in self._compressed.items() if other.sequence == update.sequence
            }
            known = self._compressed[update.base_sequence] = compress(update)
        return known
