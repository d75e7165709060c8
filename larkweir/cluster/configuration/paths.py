"""Paths, as routes and requests are compared by them (RFC 3986, 6.2.2; RFC 3987, 3.1)."""

from __future__ import annotations

import re
import string

UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")
ESCAPED_OCTET = re.compile("%([0-9A-Fa-f]{2})")
NOT_IN_PATHS = re.compile(r"[^\x21-\x7e]+|[?#]")


def normalize_path(path: str) -> str:
    """Return a path with all that it can't hold in a URI percent-encoded (as UTF-8), and its escapes normalized.

    Escapes of unreserved characters are decoded, all others are written in upper case.

    Args:
        path: the path of a request, or the path prefix of a route as the operator wrote it.
    """
    path = NOT_IN_PATHS.sub(_escape, path)
    if "%" in path:
        path = ESCAPED_OCTET.sub(_normalize_octet, path)
    return path


def _escape(match: re.Match[str]) -> str:
    return "".join(f"%{octet:02X}" for octet in match[0].encode())


def _normalize_octet(match: re.Match[str]) -> str:
    character = chr(int(match[1], 16))
    return character if character in UNRESERVED else match[0].upper()
