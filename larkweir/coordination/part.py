"""The peers' socket as a part of a balancer. Not imported where `[peers]` is off."""

from __future__ import annotations

import os
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from stat import S_IROTH
from typing import Protocol

from larkweir_peers.authentication import MAX_KEY_BYTES, MAX_KEYS, MIN_KEY_BYTES
from larkweir_peers.errors import PeersError
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.transport import PeerTransport

from larkweir.config.options import Operator
from larkweir.config.peering import peering
from larkweir.config.platform import Config, ConfigError
from larkweir.core.clock import Clock
from larkweir.core.stderr_log import StderrLog

KEY_FILE_MOST = 4_096  # bytes


class Host(Protocol):
    """What a balancer gives to this part."""

    config: Config
    clock: Clock
    log: StderrLog
    peers: PeerTransport | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]
    configure_callbacks: list[Callable[[Config, Operator | None], None]]


def attach(host: Host, options: Operator) -> None:
    """The socket, which opens in the loop's next turn. ConfigError where the files don't do.

    A life's number is its start on the balancer's clock, which goes on over a handover: a successor's is higher. Where
    the system's time has gone back between two lives, the others' word of the former one lifts the new one above it.
    """
    own, config, clock = options.peers, host.config, host.clock
    named = peering(own, config)
    keys = read_keys(own.key_file) if own.key_file else ()
    protocol_config = ProtocolConfig(
        probe_interval_ms=own.probe_ms,
        ack_timeout_ms=own.ack_ms,
        datagrams_per_s=own.datagrams_per_s,
        burst_datagrams=own.burst,
    )
    now = clock.now_ms()
    try:
        protocol = PeerProtocol(named.name, named.others, Random(), now, int(now), keys, protocol_config)
    except PeersError as problem:
        raise ConfigError(f"peers: {problem}") from None
    transport = PeerTransport(protocol, named.listen, clock, host.log.write)
    clock.after(0.0, transport.start)
    host.peers = transport
    host.close_callbacks.append(transport.close)
    host.status_callbacks.append(transport.status_fields)

    def relist(config: Config, options: Operator | None) -> None:
        """A reload: the list alone counts now; the reading has checked it (`peering`)."""
        if options is None:
            return
        line = transport.replace_peers(peering(options.peers, config).others)
        if line:
            host.log.write(line)

    host.configure_callbacks.append(relist)


def read_keys(path: str) -> tuple[bytes, ...]:
    """The keys of a file, a line each; a long one by its hash. ConfigError, which tells nothing of what is in it."""
    try:
        with open(path, "rb") as file:
            if os.fstat(file.fileno()).st_mode & S_IROTH:
                raise ConfigError(f"peers.key_file: {path!r} can be read by everyone; chmod 600")
            text = file.read(KEY_FILE_MOST + 1)
    except OSError as problem:
        raise ConfigError(f"peers.key_file: {path!r} can't be read: {problem.strerror}") from None
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(text) > KEY_FILE_MOST or not 1 <= len(lines) <= MAX_KEYS:
        raise ConfigError(f"peers.key_file: {path!r} has {len(lines)} lines; write one to {MAX_KEYS} keys")
    if any(len(line) < MIN_KEY_BYTES for line in lines):
        raise ConfigError(f"peers.key_file: {path!r} has a key under {MIN_KEY_BYTES} characters")
    return tuple(line if len(line) <= MAX_KEY_BYTES else blake2b(line).digest() for line in lines)
