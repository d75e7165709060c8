"""Host names, as routes and requests are compared by them (RFC 3986, 3.2.2; RFC 9110, 4.2.3)."""

from __future__ import annotations


def normalize_host(host: str) -> str:
    """Return a host in lower case, without its port and final dot. An IPv6 literal keeps its brackets.

    Args:
        host: the value of a `Host` header, or the host of a route as the operator wrote it.
    """
    name = host.strip().lower()
    if name.startswith("["):
        address, bracket, _ = name.partition("]")
        return address + bracket
    return name.partition(":")[0].rstrip(".")
