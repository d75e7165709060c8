"""Host names, as routes and requests are compared by them (RFC 3986, 3.2.2; RFC 9110, 4.2.3; RFC 5890)."""

from __future__ import annotations

MAX_HOST_CHARS = 253  # of a domain name (RFC 1123, 2.1, and RFC 1035, 2.3.4)


def normalize_host(host: str) -> str:
    """Return a host in lower case, without its port and final dot. An IPv6 literal keeps its brackets.

    Labels outside ASCII become A-labels. A name that has none, as it is no valid internationalized domain name, is only
    put in lower case; `is_servable` is false of it.

    Args:
        host: the value of a `Host` header, or the host of a route as the operator wrote it.
    """
    name = host.strip().lower()
    if name.startswith("["):
        address, bracket, _ = name.partition("]")
        return address + bracket
    name = name.partition(":")[0].rstrip(".")
    return name if name.isascii() else _with_a_labels(name)


def is_servable(host: str) -> bool:
    """Whether a request can name the host: a `Host` header holds ASCII without control characters only."""
    name = normalize_host(host)
    return name.isascii() and name.isprintable()


def _with_a_labels(name: str) -> str:
    import idna  # imported late, as its tables are large and most fleets have no such host

    if len(name) > MAX_HOST_CHARS:
        return name
    try:
        return idna.encode(name, uts46=True).decode()
    except idna.IDNAError:
        return name
