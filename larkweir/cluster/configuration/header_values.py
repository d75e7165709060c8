"""Texts of configurations and heartbeats as values of header fields (RFC 9110, 5.5)."""

from __future__ import annotations

import re

# A valid header value: no control characters, no leading or trailing whitespace. May be empty.
HEADER_VALUE = r"^([^\s\x00-\x1f\x7f]([^\x00-\x1f\x7f]*[^\s\x00-\x1f\x7f])?)?$"

NONEMPTY_HEADER_VALUE = r"^[^\s\x00-\x1f\x7f]([^\x00-\x1f\x7f]*[^\s\x00-\x1f\x7f])?$"
_is_nonempty_header_value = re.compile(NONEMPTY_HEADER_VALUE).fullmatch


def is_header_value(text: str) -> bool:
    """Whether a text is a valid, nonempty header value."""
    return _is_nonempty_header_value(text) is not None


def encode_header_value(text: str) -> bytes:
    """Return the bytes of a text in a header. They are UTF-8, which is ASCII for texts within ASCII."""
    return text.encode()


def encode_latin_1(text: str) -> bytes | None:
    """Return the bytes of a text from a client that sends headers in ISO-8859-1; None if it can't be sent so."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return None
