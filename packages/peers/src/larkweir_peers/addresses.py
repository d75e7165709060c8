"""Addresses of peers: an IPv4 address and port, as text and as the six bytes used in datagrams."""

from __future__ import annotations

from larkweir_peers.errors import AddressError

ADDRESS_BYTES = 6


def pack_address(address: str) -> bytes:
    """Encode an address such as `10.3.0.1:7946` as six bytes in network order.

    Raises:
        AddressError: `address` is not an IPv4 address with a port from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(_is_decimal(part, 255) for part in parts)
        or not _is_decimal(port, 65535)
        or not int(port)
    ):
        raise AddressError(f"{address!r:.60} is not an IPv4 address and port, such as 10.3.0.1:7946")
    return bytes(map(int, parts)) + int(port).to_bytes(2, "big")


def unpack_address(raw: bytes) -> str:
    """Decode an address that `pack_address` has encoded."""
    return f"{raw[0]}.{raw[1]}.{raw[2]}.{raw[3]}:{raw[4] << 8 | raw[5]}"


def is_loopback(address: str) -> bool:
    """Whether datagrams to the address never leave the machine (RFC 1122 section 3.2.1.3)."""
    return address.startswith("127.")


def _is_decimal(text: str, maximum: int) -> bool:
    """Whether `text` is a number up to `maximum` in canonical form, which matters as addresses are compared as text."""
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= 5
        and int(text) <= maximum
        and str(int(text)) == text
    )
