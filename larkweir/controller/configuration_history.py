"""The latest committed configurations, and updates from an older configuration to the newest."""

from __future__ import annotations

import msgspec

from larkweir.cluster.configuration.documents import COLLECTIONS, Document, make_patch
from larkweir.cluster.messages import ConfigUpdate

# Versions kept as bases of patches. A process with an older version is sent the complete configuration.
MAX_VERSIONS = 32


class ConfigurationHistory:
    """Committed configurations, identified by the sequence number of their commit."""

    def __init__(self) -> None:
        """Starts without any configurations."""
        self._versions: list[tuple[int, Document]] = []
        self._newest_json: bytes = b""
        self._patches: dict[int, bytes] = {}  # to the newest version, by base sequence

    @property
    def sequence(self) -> int:
        """The sequence number of the newest configuration; -1 for none."""
        return self._versions[-1][0] if self._versions else -1

    def add(self, sequence: int, value: str) -> Document | None:
        """Adds a committed value. Returns its document if the value is newer than all others, None otherwise.

        A value that equals the previous one is still a new version: a membership change commits the current value
        under a new sequence number, and controllers that join then know the value only by that number. All controllers
        must use the same number for a version, so that each of them can patch from it.

        Raises:
            msgspec.DecodeError: the value is not JSON.
        """
        if not value or sequence <= self.sequence:
            return None
        document: Document = msgspec.json.decode(value)
        if self._versions:
            _share_items(document, self._versions[-1][1])
        self._versions.append((sequence, document))
        del self._versions[:-MAX_VERSIONS]
        self._newest_json = value.encode()
        self._patches = {}
        return document

    def update_from(self, known: int) -> ConfigUpdate | None:
        """Returns the update from the version with sequence `known` to the newest; None if `known` is the newest."""
        if known >= self.sequence:
            return None
        if known not in self._patches:
            base = next((document for sequence, document in self._versions if sequence == known), None)
            if base is None:
                return ConfigUpdate(self.sequence, -1, msgspec.Raw(self._newest_json))
            self._patches[known] = msgspec.json.encode(make_patch(base, self._versions[-1][1]))
        return ConfigUpdate(self.sequence, known, msgspec.Raw(self._patches[known]))


def _share_items(document: Document, before: Document) -> None:
    """Replaces items with equal items of the previous version: thousands of unchanged routes are stored only once."""
    for key in COLLECTIONS:
        known = {item["name"]: item for item in before.get(key, [])}
        items = document.get(key, [])
        for index, item in enumerate(items):
            if item == known.get(item["name"]):
                items[index] = known[item["name"]]
