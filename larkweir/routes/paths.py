"""Normalizes the target and host of a request. Routes are matched by the normalized form, and the same form is sent
upstream.

If an upstream interpreted the target differently from the routes, a request could bypass them. So a target is brought
into its normal form (RFC 3986, section 6.2.2), and targets that two parsers could still interpret differently are
refused: an encoded slash, backslash or NUL, an encoded percent sign in front of two hex digits (double encoding), a
control character, and dot segments that lead above the root.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from larkweir.core.message import FramingError

MAX_SEGMENTS = 64
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_PLAIN = re.compile(rb"(?:/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+|/")  # already in normal form, as most targets are
_BAD = re.compile(rb"[^!$&'()*+,;=:@/A-Za-z0-9._~%-]")  # not allowed in a path (RFC 3986, section 3.3)
_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})?")
_HOST = re.compile(rb"(?:[A-Za-z0-9_-]+(?:\.[A-Za-z0-9_-]+)*\.?|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")
_REFUSED = {0x2F: "slash", 0x5C: "backslash", 0x00: "NUL"}


class Target(NamedTuple):
    path: bytes  # normalized
    segments: tuple[bytes, ...]  # of the path; the last segment of "/a/" is empty
    query: bytes  # with its question mark; empty if there is none


def _decode(match: re.Match[bytes]) -> bytes:
    digits = match[1]
    if digits is None:
        raise FramingError(400, "a percent sign in the path without two hex digits behind it")
    value = int(digits, 16)
    if value in _UNRESERVED:
        return bytes((value,))
    if value in _REFUSED:
        raise FramingError(400, f"an encoded {_REFUSED[value]} in the path")
    if value < 0x20 or value == 0x7F:
        raise FramingError(400, "an encoded control character in the path")
    return b"%" + digits.upper()


def normalize(target: bytes) -> Target:
    """The normal form of an origin-form target. Raises FramingError 400 if parsers could interpret it differently."""
    path, mark, query = target.partition(b"?")
    if _PLAIN.fullmatch(path):
        segments = tuple(path[1:].split(b"/")) if len(path) > 1 else ()
    else:
        if not path.startswith(b"/"):
            raise FramingError(400, "a target that is no path")
        if _BAD.search(path):
            raise FramingError(400, "a character in the path that belongs in none")
        path = _ENCODED.sub(_decode, path)
        if re.search(rb"%25[0-9A-Fa-f]{2}", path):
            raise FramingError(400, "a path that is encoded twice")
        kept: list[bytes] = []
        parts = path[1:].split(b"/")
        for at, part in enumerate(parts):
            last = at == len(parts) - 1
            if part == b"..":
                if not kept:
                    raise FramingError(400, "a path that climbs over its root")
                kept.pop()
            elif part not in (b".", b""):
                kept.append(part)
                continue
            if last and kept:
                kept.append(b"")  # keeps the final slash
        segments = tuple(kept)
        path = b"/" + b"/".join(segments)
    if len(segments) > MAX_SEGMENTS:
        raise FramingError(400, f"a path of more than {MAX_SEGMENTS} parts")
    return Target(path, segments, mark + query)


def normalize_host(value: bytes) -> bytes:
    """The host name of a Host field in lower case, without port and final dot. Raises FramingError 400 if invalid."""
    if not value:
        return b""
    if not _HOST.fullmatch(value):
        raise FramingError(400, "a Host that is none")
    name = value.lower()
    if name.startswith(b"["):
        return name.partition(b"]")[0] + b"]"
    return name.partition(b":")[0].rstrip(b".")
