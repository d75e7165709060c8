"""The optional extensions of a balancer, and which of them the operator file enables.

An extension is a module with `attach(host, options)`, which declares what it needs of the node in a protocol `Host`.
One that replaces the log or the decisions has `begin(host, options)` as well, which is called before the core is built,
and may return options that hold for all extensions after it. One that is off is not imported.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from types import ModuleType

from larkweir.config.options import Operator


def has_fastcgi(options: Operator) -> bool:
    """Whether callers or upstreams may speak FastCGI."""
    by_default = bool(options.fastcgi.listen) or options.fastcgi.upstreams != "off"
    by_default = by_default or options.edits.on  # another balancer's edit may say so of a pool
    return by_default or any(pool.protocol == "fastcgi" for pool in options.pools.values())


# Module names, in the order in which they are attached, and whether each is enabled.
EXTENSIONS: tuple[tuple[str, Callable[[Operator], bool]], ...] = (
    ("larkweir.coordination.edits.plugin", lambda options: options.edits.on),
    ("larkweir.routes.part", lambda options: bool(options.routes or options.pools or options.edits.on)),
    ("larkweir.storms.part", lambda options: options.storms.on),
    ("larkweir.logs.part", lambda options: options.log.format == "json"),
    ("larkweir.protocols.fastcgi.part", has_fastcgi),
    ("larkweir.membership.remembered.part", lambda options: options.store.on or options.remembered.known),
    ("larkweir.store.part", lambda options: options.store.on),
    ("larkweir.door.part", lambda options: options.door.on),
    ("larkweir.coordination.part", lambda options: options.peers.on),
    ("larkweir.coordination.owners", lambda options: options.owners.on),
    ("larkweir.budget.part", lambda options: options.budget.on),
    ("larkweir.coordination.captures.part", lambda options: options.captures.on),
)


def load_extensions(options: Operator) -> list[ModuleType]:
    """Import the extensions that `options` enable, in the order in which they are attached."""
    return [import_module(name) for name, is_enabled in EXTENSIONS if is_enabled(options)]
