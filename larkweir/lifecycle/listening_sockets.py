"""The listening sockets of a process: those that were passed to it where they fit, else new ones."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import NamedTuple

from larkweir.config.keys import listen_address
from larkweir.config.platform import ConfigError
from larkweir.lifecycle.config_loader import ConfigGeneration
from larkweir.protocols.listener import Listener

Address = str | tuple[str, int]  # a Unix socket's path, or an IPv4 address and port


class _Wanted(NamedTuple):
    protocol: str
    address: Address
    key: str  # of the setting that names it


def matches(sock: socket.socket, address: Address) -> bool:
    """Whether a socket listens at an address; port 0 is any."""
    bound = sock.getsockname()
    if isinstance(address, str) or sock.family != socket.AF_INET:
        return bool(bound == address)
    return bool(bound[0] == address[0] and address[1] in (0, bound[1]))


def open_sockets(
    generation: ConfigGeneration, listener: Listener, inherited: Sequence[tuple[str, socket.socket]]
) -> list[tuple[str, socket.socket]]:
    """The sockets that the files name, each with its protocol. Where a service manager passes sockets, they are taken
    whatever the files name; of a predecessor's sockets those that fit are, and the others closed: the predecessor still
    has them while it drains. ConfigError where one can't be had.
    """
    if generation.options.lifecycle.inherit and inherited:
        return list(inherited)
    left = list(inherited)
    found = []
    for wanted in _wanted(generation):
        fitting = (item for item in left if item[0] == wanted.protocol and matches(item[1], wanted.address))
        passed = next(fitting, None)
        if passed is None:
            found.append((wanted.protocol, _bind(generation, listener, wanted)))
        else:
            left.remove(passed)
            found.append(passed)
    for _, sock in left:
        sock.close()
    return found


def _wanted(generation: ConfigGeneration) -> list[_Wanted]:
    wanted = [_Wanted("http1", generation.config.listen, "listen")]
    for text in generation.options.fastcgi.listen:
        address = listen_address(text)
        if address is not None:
            wanted.append(_Wanted("fastcgi", address, "fastcgi.listen"))
    return wanted


def _bind(generation: ConfigGeneration, listener: Listener, wanted: _Wanted) -> socket.socket:
    address = wanted.address
    try:
        if isinstance(address, str):
            return listener.bind_unix(address)
        shared = generation.options.lifecycle.upgrade != "off"
        return listener.bind(address, shared)
    except OSError as problem:
        text = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        raise ConfigError(f"{wanted.key}: {text}: {problem}") from None
