"""Reads the files again for a reload, on a thread, and gives out the generation that was read once it is to count."""

from __future__ import annotations

import asyncio
import os
import threading
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from larkweir.config.platform import ConfigError
from larkweir.lifecycle.config_loader import ConfigGeneration, LoadedConfig, reload_config
from larkweir.lifecycle.events import ConfigLoaded

if TYPE_CHECKING:
    from larkweir.lifecycle.host import Host


class ConfigReloader:
    """One load at a time. Each ends in one `ConfigLoaded`, unless the files can't be read at all: a disk may hang."""

    def __init__(self, host: Host, operator_path: str | None) -> None:
        """`operator_path` is the operator file's, None where there is none."""
        self._host = host
        self._operator_path = operator_path
        self._loop = asyncio.get_running_loop()
        self._thread: threading.Thread | None = None
        self._loaded: tuple[int, LoadedConfig] | None = None

    def load(self, serial: int, generation: ConfigGeneration) -> None:
        """Read and check what takes the place of `generation`. On a thread: requests don't wait for a disk or for a
        long file to be checked. A daemon thread, since the end of the process must not wait for it either.
        """
        if self._thread is not None and self._thread.is_alive():
            self._host.post(ConfigLoaded(serial, "the last reading of the files still hangs"))
            return
        work = partial(self._read, serial, generation)
        self._thread = threading.Thread(target=work, name="reload", daemon=True)
        self._thread.start()

    def take(self, serial: int) -> ConfigGeneration:
        """The generation of a load that has ended without an error."""
        assert self._loaded is not None and self._loaded[0] == serial
        generation, self._loaded = self._loaded[1].generation, None
        return generation

    def _read(self, serial: int, generation: ConfigGeneration) -> None:
        """On the thread."""
        result: LoadedConfig | str
        try:
            result = reload_config(generation, os.environ, self._operator_path)
        except ConfigError as problem:
            result = str(problem)
        except Exception as problem:  # a file, however odd, must not end the reload for good
            result = f"{type(problem).__name__}: {problem}"
        with suppress(RuntimeError):  # the loop has ended meanwhile
            self._loop.call_soon_threadsafe(self._on_read, serial, result)

    def _on_read(self, serial: int, result: LoadedConfig | str) -> None:
        if isinstance(result, str):
            self._host.post(ConfigLoaded(serial, result))
            return
        edits = self._host.node.edits
        if edits is None:
            self._finish(serial, result, "")
        else:  # what differs is an edit, and persisted before it counts
            edits.reload(result.generation.options, lambda error: self._finish(serial, result, error))

    def _finish(self, serial: int, loaded: LoadedConfig, error: str) -> None:
        if error:
            self._host.post(ConfigLoaded(serial, error))
            return
        self._loaded = (serial, loaded)
        self._host.post(ConfigLoaded(serial, "", loaded.handover_keys, loaded.restart_keys))
