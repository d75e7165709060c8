"""A request's target and host in the one form that routes are matched by, and that goes on upstream.

What is matched is what is sent: an upstream that reads the target differently from the routes is how a request gets
round them. So a target is brought into its normal form (RFC 3986, section 6.2.2), and what two readers could still
take for different things is refused: an encoded slash, backslash or NUL, a percent sign encoded in front of two hex
digits (a second decoding), a control character, and dots that climb over the root.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from larkweir.core.message import FramingError

MAX_SEGMENTS = 64
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_PLAIN = re.compile(rb"(?:/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+|/")  # in its normal form already, as most are
_BAD = re.compile(rb"[^!$&'()*+,;=:@/A-Za-z0-9._~%-]")  # no character of a path (section 3.3)
_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})?")
_HOST = re.compile(rb"(?:[A-Za-z0-9_-]+(?:\.[A-Za-z0-9_-]+)*\.?|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")
_REFUSED = {0x2F: "slash", 0x5C: "backslash", 0x00: "NUL"}


class Target(NamedTuple):
    path: bytes  # in its normal form
    segments: tuple[bytes, ...]  # of it, without the root; "/a/" has an empty last one
    query: bytes  # with its question mark; empty: none


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
    """The normal form of an origin-form target; FramingError 400 where it has none that all readers share."""
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
                kept.append(b"")  # the folder itself
        segments = tuple(kept)
        path = b"/" + b"/".join(segments)
    if len(segments) > MAX_SEGMENTS:
        raise FramingError(400, f"a path of more than {MAX_SEGMENTS} parts")
    return Target(path, segments, mark + query)


def normalize_host(value: bytes) -> bytes:
    """A Host field's name in lower case, without its port and a dot at its end; FramingError 400 where it is none."""
    if not value:
        return b""
    if not _HOST.fullmatch(value):
        raise FramingError(400, "a Host that is none")
    name = value.lower()
    if name.startswith(b"["):
        return name.partition(b"]")[0] + b"]"
    return name.partition(b":")[0].rstrip(b".")
