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
        # To the newest version, by base sequence; None where the complete configuration is sent.
        self._patches: dict[int, bytes | None] = {}

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
        """Returns the update from the version with sequence `known` to the newest; None if `known` is the newest.

        The update is a patch, or the complete configuration if `known` is too old or no patch can express the change.
        """
        if known >= self.sequence:
            return None
        if known not in self._patches:
            self._patches[known] = self._make_patch(known)
        patch = self._patches[known]
        if patch is None:
            return ConfigUpdate(self.sequence, -1, msgspec.Raw(self._newest_json))
        return ConfigUpdate(self.sequence, known, msgspec.Raw(patch))

    def _make_patch(self, known: int) -> bytes | None:
        base = next((document for sequence, document in self._versions if sequence == known), None)
        patch = make_patch(base, self._versions[-1][1]) if base is not None else None
        return msgspec.json.encode(patch.to_json()) if patch is not None else None


def _share_items(document: Document, before: Document) -> None:
    """Replaces items with equal items of the previous version: thousands of unchanged routes are stored only once."""
    for key in COLLECTIONS:
        known = {item["name"]: item for item in before.get(key, [])}
        items = document.get(key, [])
        for index, item in enumerate(items):
            if item == known.get(item["name"]):
                items[index] = known[item["name"]]
