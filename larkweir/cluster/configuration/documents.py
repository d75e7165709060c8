"""Documents of configuration as JSON objects: items by name, patches, and what differs between two of them."""

from __future__ import annotations

from typing import Any

from larkweir.cluster.errors import LarkweirError

Document = dict[str, Any]

COLLECTIONS = ("routes", "services", "tenants")


class PatchError(LarkweirError, ValueError):
    """A patch that can't be applied; one line."""


def apply_patch(document: Document, patch: Document) -> Document:
    """`document` with the named items of the patch added, replaced or removed. Shares what is unchanged.

    Raises PatchError where the patch is of another form.
    """
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise PatchError("upsert and remove are objects of lists")
    result = dict(document)
    for key, value in patch.items():
        if key not in ("upsert", "remove"):
            result[key] = value
    for key in {*upsert, *remove}:
        if key in COLLECTIONS:
            result[key] = _apply_to_items(result.get(key, []), upsert.get(key, []), remove.get(key, []), key)
        elif key in upsert:
            result[key] = upsert[key]
        else:
            raise PatchError(f"remove: {key} is no list of named items")
    return result


def _apply_to_items(items: list[Any], upsert: object, remove: object, key: str) -> list[Any]:
    if not isinstance(upsert, list) or not isinstance(remove, list):
        raise PatchError(f"{key}: a list is needed")
    fresh: dict[str, Any] = {}
    for item in upsert:
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise PatchError(f"{key}: each item is an object with a name")
        fresh[item["name"]] = item
    gone = set()
    for name in remove:
        if not isinstance(name, str):
            raise PatchError(f"{key}: what is removed is named by text")
        gone.add(name)
    kept = [fresh.pop(item["name"], item) for item in items if item["name"] not in gone]
    return kept + list(fresh.values())


def make_patch(old: Document, new: Document) -> Document:
    """A patch that makes `new` of `old`, up to the order of items."""
    patch: Document = {"upsert": {}, "remove": {}}
    for key in {*old, *new}:
        if key in COLLECTIONS:
            before = {item["name"]: item for item in old.get(key, [])}
            after = {item["name"]: item for item in new.get(key, [])}
            changed = [item for name, item in after.items() if before.get(name) != item]
            gone = [name for name in before if name not in after]
            if changed:
                patch["upsert"][key] = changed
            if gone:
                patch["remove"][key] = gone
        elif old.get(key) != new.get(key):
            patch[key] = new.get(key)
    return patch
