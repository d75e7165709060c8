"""`run`: from the files to a daemon, or to one line on standard error and exit code 2."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import uvloop

from larkweir.config.platform import ConfigError
from larkweir.lifecycle.config_loader import load_config
from larkweir.lifecycle.daemon import Daemon


def run(operator: str | None, arguments: Sequence[str]) -> int:
    """Run until told to stop; the exit code."""
    try:
        return uvloop.run(_run(operator, arguments))
    except ConfigError as problem:
        print(f"larkweir: {problem}", file=sys.stderr)
        return 2


async def _run(operator: str | None, arguments: Sequence[str]) -> int:
    handed = "LARKWEIR_HANDOVER" in os.environ
    generation = load_config(os.environ, operator)
    if not handed and not generation.options.lifecycle.inherit:
        return await Daemon(generation, operator, arguments).run()
    # Imported where they are switched on.
    from larkweir.lifecycle.handover import inherited
    from larkweir.lifecycle.inherit import listening_socket, sockets_from_manager

    before = inherited(os.environ)
    if before is not None:
        channel, descriptors = before
        sockets = [(protocol, listening_socket(number, "handover")) for protocol, number in descriptors]
        return await Daemon(generation, operator, arguments, sockets, channel).run()
    sockets = sockets_from_manager(os.environ)
    return await Daemon(generation, operator, arguments, sockets).run()
