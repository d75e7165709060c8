"""Configurations as JSON documents, and the patches between them.

The items of the lists in `COLLECTIONS` are identified by name. A patch has the form
`{"upsert": {"routes": [...]}, "remove": {"routes": ["name"]}, "other key": value}`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from larkweir.cluster.errors import LarkweirError

Document = dict[str, Any]
Item = dict[str, Any]

COLLECTIONS = ("routes", "services", "tenants")
UPSERT, REMOVE = "upsert", "remove"
PATCH_MEMBERS = (UPSERT, REMOVE)  # in patches only
ROLLOUTS_KEY = "larkweir_rollouts"  # in committed documents only; operators neither write nor see it


class PatchError(LarkweirError, ValueError):
    """A patch is malformed; the message names the key."""


@dataclass(frozen=True, slots=True)
class DocumentPatch:
    """A change of a document.

    Attributes:
        upsert: by collection, the items that replace those of the same name, or are added.
        remove: by collection, the names of the items that are removed.
        members: the new values of all other members; routers take None as removed.
    """

    upsert: dict[str, list[Item]] = field(default_factory=dict)
    remove: dict[str, list[str]] = field(default_factory=dict)
    members: Document = field(default_factory=dict)

    def to_json(self) -> Document:
        """Return the patch in the form in which it is sent."""
        return {UPSERT: self.upsert, REMOVE: self.remove, **self.members}

    def apply_to(self, document: Document) -> Document:
        """Return `document` with the patch applied; unchanged parts are shared, not copied.

        Raises:
            PatchError: the document has no valid list of items under a key of the patch.
        """
        result = {**document, **self.members}
        for key in {*self.upsert, *self.remove}:
            before = _named_items(result.get(key, []), key)
            added = {item["name"]: item for item in self.upsert.get(key, [])}
            removed = set(self.remove.get(key, []))
            remaining = [added.pop(item["name"], item) for item in before if item["name"] not in removed]
            result[key] = remaining + list(added.values())
        return result


def parse_patch(document: Document) -> DocumentPatch:
    """Read a patch from its JSON form. Lists in `upsert` beside the collections are members, which it sets completely.

    Raises:
        PatchError: the patch is malformed.
    """
    upsert, remove = document.get(UPSERT, {}), document.get(REMOVE, {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise PatchError("upsert and remove are objects of lists")
    members = {key: value for key, value in document.items() if key not in PATCH_MEMBERS}
    patch = DocumentPatch(members=members)
    for key, items in upsert.items():
        if not isinstance(items, list):
            raise PatchError(f"upsert: {key}: a list is needed")
        if key in COLLECTIONS:
            patch.upsert[key] = _named_items(items, key)
        else:
            members[key] = items
    for key, names in remove.items():
        if key not in COLLECTIONS:
            raise PatchError(f"remove: {key} is no list of named items")
        patch.remove[key] = _names(names, key)
    return patch


def _names(names: object, key: str) -> list[str]:
    if not isinstance(names, list):
        raise PatchError(f"{key}: a list is needed")
    if not all(isinstance(name, str) for name in names):
        raise PatchError(f"{key}: what is removed is named by text")
    return names


def _named_items(items: object, key: str) -> list[Item]:
    if not isinstance(items, list):
        raise PatchError(f"{key}: a list is needed")
    for item in items:
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise PatchError(f"{key}: each item is an object with a name")
    return items


def make_patch(old: Document, new: Document) -> DocumentPatch | None:
    """Return a patch that turns `old` into `new`, except for the order of items; None if no patch can.

    Documents that earlier releases accepted may have members of the names that a patch uses itself: no patch can
    express that such a member changes.
    """
    patch = DocumentPatch()
    for key in {*old, *new}:
        if key in COLLECTIONS:
            before = {item["name"]: item for item in old.get(key, [])}
            after = {item["name"]: item for item in new.get(key, [])}
            changed = [item for name, item in after.items() if before.get(name) != item]
            removed = [name for name in before if name not in after]
            if changed:
                patch.upsert[key] = changed
            if removed:
                patch.remove[key] = removed
        elif old.get(key) != new.get(key):
            if key in PATCH_MEMBERS:
                return None
            patch.members[key] = new.get(key)
    return patch
