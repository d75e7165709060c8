"""Bytes that no well-behaved peer sends, drawn from a grammar by seed: HTTP requests, JSON documents, protocol lines.

Most of them are nearly right: a proper message of which one part is odd, or whose bytes are cut, repeated or flipped.
Such messages get further into a program than random bytes do.
"""

from __future__ import annotations

import json
from random import Random
from typing import Any

ODD_NUMBERS = (
    "-1",
    "0",
    "1",
    "00",
    "+1",
    "1.5",
    "1e999",
    "nan",
    "inf",
    "9" * 19,
    "9" * 23,
    "9" * 400,
    "9" * 5_000,
    "0x10",
    "\u0663",
    "1,-900000",
    "1,2,3",
    "",
    " 7 ",
)
ODD_TEXTS = (
    "",
    " ",
    "\x00",
    "a\x00b",
    "\xff\xfe",
    "%00%ff",
    "../..",
    "x" * 300,
    "x" * 70_000,
    "\u2603",
    "'\"<>",
    "\t",
)
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**53,
    2**64,
    10**23,
    1e308,
    0.5,
    "",
    "7",
    "x" * 5_000,
    [],
    [[]],
    {},
    [None],
)
METHODS = (
    "GET",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "HEAD",
    "OPTIONS",
    "TRACE",
    "CONNECT",
    "get",
    "",
    "G\x00T",
    "X" * 200,
)
NUMBER_HEADERS = (
    "Content-Length",
    "X-Deadline-Ms",
    "X-Token-Usage",
    "Last-Event-Id",
    "If-Match",
    "Max-Forwards",
)
TEXT_HEADERS = (
    "Host",
    "X-Api-Key",
    "X-Request-Id",
    "X-Prompt-Prefix",
    "X-Model",
    "Connection",
    "Transfer-Encoding",
    "Expect",
    "Priority",
    "Keep-Alive",
    "Upgrade",
    "X-Target-Instance",
    "Te",
)
TEXT_HEADER_VALUES = (
    "a.example",
    "chunked",
    "close",
    "keep-alive, x-api-key",
    "100-continue",
    "gzip, chunked",
    "h2c",
    "a:1,b:2",
)
MAX_NESTING = 20_000


def mutate(rng: Random, data: bytes) -> bytes:
    """The same bytes, cut, repeated, flipped or with others among them."""
    if not data:
        return data
    start = rng.randrange(len(data))
    end = min(len(data), start + rng.choice((1, 2, 8, 64)))
    match rng.randrange(6):
        case 0:
            return data[:start]
        case 1:
            return data[:start] + data[end:]
        case 2:
            return data[:end] + data[start:]
        case 3:
            return data[:start] + bytes([data[start] ^ (1 << rng.randrange(8))]) + data[start + 1 :]
        case 4:
            return data[:start] + rng.randbytes(end - start) + data[end:]
        case _:
            return data[:start] + rng.choice(ODD_TEXTS).encode("utf-8", "replace") + data[start:]


def http_request(rng: Random, targets: tuple[str, ...], body: bytes = b"") -> bytes:
    """A request for one of these targets of which something is odd."""
    method = rng.choice(METHODS) if rng.random() < 0.2 else rng.choice(METHODS[:4])
    target = rng.choice(targets)
    if rng.random() < 0.15:
        target += rng.choice(ODD_TEXTS)
    version = (
        rng.choice(("HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1.1 ", ""))
        if rng.random() < 0.1
        else "HTTP/1.1"
    )
    lines = [f"{method} {target} {version}"]
    if rng.random() < 0.9:
        lines.append(f"Host: {rng.choice(('a.example', 'demo.example', 'A.EXAMPLE:80'))}")
    lines += [_header(rng) for _ in range(rng.choice((0, 1, 2, 4, 12)))]
    chunked = rng.random() < 0.15
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = _chunks(rng, body)
    elif rng.random() < 0.9:
        lines.append(f"Content-Length: {len(body)}")
    head = rng.choice(("\r\n", "\n")) if rng.random() < 0.05 else "\r\n"
    data = (head.join(lines) + head + head).encode("latin-1", "replace") + body
    return mutate(rng, data) if rng.random() < 0.3 else data


def _header(rng: Random) -> str:
    if rng.random() < 0.5:
        value = rng.choice(ODD_NUMBERS)
        return f"{rng.choice(NUMBER_HEADERS)}: {value}"
    if rng.random() < 0.3:
        return f"X-Prompt-Prefix: a:{rng.choice(ODD_NUMBERS)},{rng.choice(ODD_TEXTS[:5])}:1"
    value = rng.choice(TEXT_HEADER_VALUES + ODD_TEXTS)
    return f"{rng.choice(TEXT_HEADERS)}: {value}"


def _chunks(rng: Random, body: bytes) -> bytes:
    size = rng.choice((f"{len(body):x}", "ffffffffffffffffffffff", "-1", "0", "", "z", f"{len(body):x};a=b"))
    return size.encode() + b"\r\n" + body + rng.choice((b"\r\n0\r\n\r\n", b"\r\n", b"0\r\n\r\n", b""))


def json_document(rng: Random, proper: Any) -> bytes:
    """A proper document of which one part is odd; sometimes nested too deeply, or no JSON."""
    roll = rng.random()
    if roll < 0.05:
        depth = rng.randrange(1, MAX_NESTING)
        return b"[" * depth + b"]" * rng.choice((depth, 0))
    document = json.loads(json.dumps(proper))
    data = json.dumps(_with_odd_part(rng, document)).encode()
    return mutate(rng, data) if roll < 0.4 else data


def _with_odd_part(rng: Random, value: Any) -> Any:
    if isinstance(value, dict) and value and rng.random() < 0.85:
        key = rng.choice(sorted(value))
        if rng.random() < 0.1:
            return {name: part for name, part in value.items() if name != key}
        return {**value, key: _with_odd_part(rng, value[key])}
    if isinstance(value, list) and value and rng.random() < 0.85:
        at = rng.randrange(len(value))
        return [*value[:at], _with_odd_part(rng, value[at]), *value[at + 1 :]]
    return rng.choice(ODD_VALUES)
