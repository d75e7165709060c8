"""Configurations as JSON documents: applying a patch, and computing the patch between two documents.

The items of the lists in `COLLECTIONS` are identified by name. A patch has the form
`{"upsert": {"routes": [...]}, "remove": {"routes": ["name"]}, "other key": value}`.
"""

from __future__ import annotations

from typing import Any

from larkweir.cluster.errors import LarkweirError

Document = dict[str, Any]

COLLECTIONS = ("routes", "services", "tenants")
ROLLOUTS_KEY = "larkweir_rollouts"  # in committed documents only; operators neither write nor see it


class PatchError(LarkweirError, ValueError):
    """A patch is malformed; the message names the key."""


def apply_patch(document: Document, patch: Document) -> Document:
    """Return `document` with the patch applied; unchanged parts are shared, not copied.

    Raises:
        PatchError: the patch is malformed.
    """
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise PatchError("upsert and remove are objects of lists")
    result = {**document, **{key: value for key, value in patch.items() if key not in ("upsert", "remove")}}
    for key in {*upsert, *remove}:
        if key in COLLECTIONS:
            result[key] = _apply_to_items(result.get(key, []), upsert.get(key, []), remove.get(key, []), key)
        elif key in upsert:
            result[key] = upsert[key]
        else:
            raise PatchError(f"remove: {key} is no list of named items")
    return result


def _apply_to_items(items: object, upsert: object, remove: object, key: str) -> list[Any]:
    if not isinstance(remove, list):
        raise PatchError(f"{key}: a list is needed")
    before = _named_items(items, key)
    added = {item["name"]: item for item in _named_items(upsert, key)}
    removed = set()
    for name in remove:
        if not isinstance(name, str):
            raise PatchError(f"{key}: what is removed is named by text")
        removed.add(name)
    remaining = [added.pop(item["name"], item) for item in before if item["name"] not in removed]
    return remaining + list(added.values())


def _named_items(items: object, key: str) -> list[dict[str, Any]]:
    if not isinstance(items, list):
        raise PatchError(f"{key}: a list is needed")
    for item in items:
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise PatchError(f"{key}: each item is an object with a name")
    return items


def make_patch(old: Document, new: Document) -> Document:
    """Return a patch that turns `old` into `new`, except for the order of items."""
    patch: Document = {"upsert": {}, "remove": {}}
    for key in {*old, *new}:
        if key in COLLECTIONS:
            before = {item["name"]: item for item in old.get(key, [])}
            after = {item["name"]: item for item in new.get(key, [])}
            changed = [item for name, item in after.items() if before.get(name) != item]
            removed = [name for name in before if name not in after]
            if changed:
                patch["upsert"][key] = changed
            if removed:
                patch["remove"][key] = removed
        elif old.get(key) != new.get(key):
            patch[key] = new.get(key)
    return patch
