"""Parses what an upstream says of itself in an answer, an item with parameters (RFC 9651, section 3.3). Pure logic.

    "s-5be2a07c";zone="a";cell=3

The item is the instance's id as discovery has it, a string or a token; `zone` and `cell` may be missing.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_STRING = r'"(?:[ !#-\[\]-~]|\\["\\])*"'
_TOKEN = r"[A-Za-z*][!#$%&'*+.^_`|~0-9A-Za-z:/-]*"
_BARE = rf"{_STRING}|{_TOKEN}|-?[0-9]{{1,15}}"
_KEY = r"[a-z*][a-z0-9_.*-]*"
_ITEM = re.compile(rf"[ ]*(?P<item>{_STRING}|{_TOKEN})(?P<rest>(?:;[ ]*{_KEY}(?:=(?:{_BARE}))?)*)[ ]*")
_PARAMETER = re.compile(rf";[ ]*({_KEY})(?:=({_BARE}))?")
MAX_BYTES = 512


class UpstreamIdentity(NamedTuple):
    """An instance's id as discovery has it, and where it is, if it says so."""

    instance: str
    zone: str | None = None
    cell: int | None = None


def _text(value: str) -> str:
    return re.sub(r"\\(.)", r"\1", value[1:-1]) if value.startswith('"') else value


def parse_identity(value: bytes) -> UpstreamIdentity | None:
    """None where the value can't be parsed."""
    if len(value) > MAX_BYTES:
        return None
    match = _ITEM.fullmatch(value.decode("latin-1"))
    if match is None:
        return None
    zone: str | None = None
    cell: int | None = None
    for name, found in _PARAMETER.findall(
        match["rest"]
    ):  # the last of a name counts (RFC 9651, section 4.2.3.2)
        if name == "zone":
            zone = _text(found) if found and not re.fullmatch(r"-?[0-9]+", found) else None
        elif name == "cell":
            cell = int(found) if re.fullmatch(r"[0-9]+", found) else None
    return UpstreamIdentity(_text(match["item"]), zone, cell)
