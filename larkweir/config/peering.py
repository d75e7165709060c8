"""Who this process is among its peers, from both files. Not imported where `[peers]` is off."""

from __future__ import annotations

from dataclasses import fields
from typing import Any, NamedTuple

from larkweir.config.fleet_tables import Peers
from larkweir.config.keys import listen_address
from larkweir.config.options import Operator, Pool, Route
from larkweir.config.platform import Config, ConfigError


class Peering(NamedTuple):
    """Addresses as text."""

    listen: str
    name: str  # by which the others know it
    others: tuple[str, ...]


def peering(options: Peers, config: Config) -> Peering:
    """ConfigError, one line, where it can't be switched on beside this platform file."""
    if not config.may_peer:
        raise ConfigError(
            "peers.on: the platform's settings forbid that balancers speak to each other "
            "(settings.PolicyLimits.Peers); write on = false"
        )
    listen = options.listen or config.peer_listen
    if not listen:
        raise ConfigError('peers.listen: neither file says where; write "10.3.0.1:7946"')
    name = options.name or listen
    listed = options.peers or config.peers
    others = tuple(dict.fromkeys(item for item in listed if item != name))
    if not others:
        raise ConfigError("peers.peers: neither file lists another balancer")
    for key, text in (("listen", listen), ("name", name), *(("peers", item) for item in others)):
        address = listen_address(text)
        if address is None or isinstance(address, str) or not address[1]:
            raise ConfigError(
                f"peers.{key}: {text!r:.60} is not an IPv4 address and port, such as 10.3.0.1:7946"
            )
        if not options.key_file and not text.startswith("127."):
            raise ConfigError(f"peers.key_file: {text} is beyond loopback: that takes a key")
    return Peering(listen, name, others)


def capturing(options: Operator, config: Config) -> str:
    """The name by which other hops know this process, where `[captures]` is on. ConfigError, one line, where it can't
    be. Without peers the names only show the way that a request took: nobody is asked by them.
    """
    if not config.may_peer:
        raise ConfigError(
            "captures.on: the platform's settings forbid that balancers speak to each other "
            "(settings.PolicyLimits.Peers); write on = false"
        )
    if options.peers.on:
        return peering(options.peers, config).name
    plain = "".join(
        mark if mark.isascii() and (mark.isalnum() or mark in "._-") else "-" for mark in config.name
    )
    return plain[:48] or "balancer"


def keeping(options: Operator, config: Config) -> Peering:
    """Who this process is among its peers, where `[owners]` is on. ConfigError, one line, where it can't be."""
    own = options.owners
    if not options.peers.on:
        raise ConfigError("owners.on: it needs peers: write on = true in [peers], or false here")
    found = peering(options.peers, config)
    known = {found.name, *found.others}
    stranger = next((name for name in own.keepers if name not in known), None)
    if stranger is not None:
        raise ConfigError(
            f"owners.keepers: {stranger} is none of the {len(known)} peers; a keeper stays in the list until a "
            "handover has put another in its place"
        )
    if found.name in own.keepers and not own.folder:
        raise ConfigError(f"owners.folder: {found.name} is a keeper: say where it keeps what it has promised")
    return found


def merging(options: Operator, config: Config) -> Peering:
    """Who this process is among its peers, where `[edits]` is on. ConfigError, one line, where it can't be."""
    if not options.peers.on:
        raise ConfigError("edits.on: it needs peers: write on = true in [peers], or false here")
    found = peering(options.peers, config)
    if options.storms.on:
        raise ConfigError("edits.on: the storms part knows one pool; write on = false for one of them")
    for text in options.edits.settle:
        table, _, rest = text.partition(".")
        rows: dict[str, Any] = options.routes if table == "route" else options.pools
        name, _, key = rest.rpartition(".")
        kind = Route if table == "route" else Pool
        if rest not in rows and key in {item.name for item in fields(kind)} and name not in rows:
            raise ConfigError(f"edits.settle: {text}: this file has no [{table}.{name}] to go by")
    return found
