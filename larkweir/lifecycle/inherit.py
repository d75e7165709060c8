"""Listening sockets that another process has opened (sd_listen_fds(3)), checked before they are used."""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

from larkweir.config.platform import ConfigError

FIRST_DESCRIPTOR = 3  # descriptors 0 to 2 are the standard ones
MAX_COUNT_DIGITS = 4


def listening_socket(descriptor: int, key: str) -> socket.socket:
    """The listening socket behind a descriptor; ConfigError says what it is instead."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as problem:
        raise ConfigError(f"{key}: descriptor {descriptor} is no socket: {problem}") from None
    families = (socket.AF_INET, socket.AF_INET6, socket.AF_UNIX)
    if sock.family not in families or sock.type != socket.SOCK_STREAM:
        kind = f"{sock.family.name} {sock.type.name}"
        sock.detach()
        raise ConfigError(f"{key}: descriptor {descriptor} is {kind}; pass a listening stream socket")
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ConfigError(f"{key}: descriptor {descriptor} does not listen; pass a listening stream socket")
    sock.set_inheritable(False)
    return sock


def sockets_from_manager(env: MutableMapping[str, str]) -> list[tuple[str, socket.socket]]:
    """The sockets that a service manager passes, none if it passes none, each with its protocol: one whose name begins
    with `fastcgi` speaks FastCGI, any other HTTP/1.1. The variables are taken out of the environment, so that no child
    takes them for its own. ConfigError where they make no sense.
    """
    count, pid = env.pop("LISTEN_FDS", ""), env.pop("LISTEN_PID", "")
    names = env.pop("LISTEN_FDNAMES", "")
    if not count or pid != str(os.getpid()):
        return []
    if not count.isdigit() or len(count) > MAX_COUNT_DIGITS or int(count) < 1:
        raise ConfigError(f"LISTEN_FDS: {count!r:.60} is not a number of descriptors")
    labels = names.split(":") if names else []
    if labels and len(labels) != int(count):
        raise ConfigError(f"LISTEN_FDNAMES: {len(labels)} names for {count} descriptors")
    if not labels:
        return [("http1", listening_socket(FIRST_DESCRIPTOR + n, "LISTEN_FDS")) for n in range(int(count))]
    return [_named_socket(FIRST_DESCRIPTOR + n, label) for n, label in enumerate(labels)]


def _named_socket(descriptor: int, label: str) -> tuple[str, socket.socket]:
    protocol = "fastcgi" if label.startswith("fastcgi") else "http1"
    return protocol, listening_socket(descriptor, f"LISTEN_FDS ({label})")
