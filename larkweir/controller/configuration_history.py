"""The latest committed configurations, and the update from an older one to the newest."""

from __future__ import annotations

import msgspec

from larkweir.cluster.configuration.documents import COLLECTIONS, Document, make_patch
from larkweir.cluster.messages import ConfigUpdate

MAX_VERSIONS = 32  # that a patch can build on; a process with an older one is sent the complete configuration


class ConfigurationHistory:
    """Configurations by the sequence number under which they were committed."""

    def __init__(self) -> None:
        """No configuration is known."""
        self._versions: list[tuple[int, Document]] = []
        self._newest_json: bytes = b""
        self._patches: dict[int, bytes] = {}  # to the newest, by the sequence that they build on

    @property
    def sequence(self) -> int:
        """Of the newest configuration; -1 for none."""
        return self._versions[-1][0] if self._versions else -1

    def add(self, sequence: int, value: str) -> Document | None:
        """Adds a committed value. Returns its document if it is newer, None otherwise.

        A value that equals the one before is a version too: a change of the members commits it under a new sequence,
        under which the controllers that join know it, and only what all call the same can be patched by all.

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
        """What turns the configuration of sequence `known` into the newest; None where it is the newest."""
        if known >= self.sequence:
            return None
        if known not in self._patches:
            base = next((document for sequence, document in self._versions if sequence == known), None)
            if base is None:
                return ConfigUpdate(self.sequence, -1, msgspec.Raw(self._newest_json))
            self._patches[known] = msgspec.json.encode(make_patch(base, self._versions[-1][1]))
        return ConfigUpdate(self.sequence, known, msgspec.Raw(self._patches[known]))


def _share_items(document: Document, before: Document) -> None:
    """Replace items by equal ones of the version before: thousands of routes are held once, not once a version."""
    for key in COLLECTIONS:
        known = {item["name"]: item for item in before.get(key, [])}
        items = document.get(key, [])
        for index, item in enumerate(items):
            if item == known.get(item["name"]):
                items[index] = known[item["name"]]
