"""Start, signals and exit code of one real balancer."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

import uvloop

from larkweir.config.platform import Config, ConfigError, load
from larkweir.lifecycle.node import Node

ACCEPT_MS = 550.0  # new connections go on coming for up to 400 ms after SIGTERM
LAST_MS = 100.0  # past the longest deadline, for the last answers to be read
STEP_S = 0.01


class Reload:
    """SIGHUP: the file is read again, and discovery is followed to the address that it names. The other keys
    count from the next start. One read at a time; of signals in a row, what the last one finds counts.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._asked = False
        self._task: asyncio.Task[None] | None = None

    def ask(self) -> None:
        self._asked = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._asked:
            self._asked = False
            try:
                # On a thread: requests don't wait for a disk or for a long file to be checked.
                config = await asyncio.to_thread(load, again=True)
            except ConfigError as problem:
                self._node.journal.line(f"reload: {problem}; what was read before stays")
                continue
            self._node.journal.line(f"reload: discovery is {config.discovery[0]}:{config.discovery[1]}")
            self._node.discovery.move(config.discovery)


async def serve(config: Config) -> int:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    node = Node(config, loop)
    listener = node.listener
    loop.add_signal_handler(signal.SIGHUP, Reload(node).ask)
    try:
        listener.start(listener.bind(config.listen))
    except OSError as problem:
        print(f"larkweir: listen: {config.listen[0]}:{config.listen[1]}: {problem}", file=sys.stderr)
        return 2
    node.discovery.start()
    # Guards against collection pauses: what lives from here on is short-lived and holds few cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    await stopping.wait()
    await drain(config, node)
    return 0


async def drain(config: Config, node: Node) -> None:
    """Accept while connections still come, serve what was taken, and end as soon as nothing is owed."""
    clock, engine, listener = node.clock, node.engine, node.listener
    begun = clock.now_ms()
    listener.closing = True
    await asyncio.sleep(ACCEPT_MS / 1000.0)
    listener.stop_accepting()
    last = begun + ACCEPT_MS + LAST_MS + max(item.deadline_ms for item in config.settings.classes)
    while clock.now_ms() < last:
        listener.end_idle()
        if not engine.owed and not listener.taking:
            break
        await asyncio.sleep(STEP_S)
    node.discovery.stop()
    node.upstreams.close()


def main() -> int:
    # Until there is something to tell of a new configuration: the default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load()
    except ConfigError as problem:
        print(f"larkweir: {problem}", file=sys.stderr)
        return 2
    return uvloop.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
