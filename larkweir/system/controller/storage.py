"""The thread that waits for the disk, so that heartbeats do not."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable

from larkweir_replication.journal import Journal
from larkweir_replication.messages import Durable

from larkweir.system import log


class DiskThread:
    """Writes the newest of the records that wait; the earlier ones are covered by it."""

    def __init__(
        self,
        journal: Journal,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[int], None],
    ) -> None:
        """Both callbacks are called on the loop with the token of a record."""
        self._journal = journal
        self._loop = loop
        self._on_persisted = on_persisted
        self._on_failed = on_failed
        self._records: queue.SimpleQueue[tuple[int, Durable] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def write(self, token: int, durable: Durable) -> None:
        """Queues a record."""
        self._records.put((token, durable))

    def close(self) -> None:
        """Ends the thread behind what is queued; does not wait for it."""
        self._records.put(None)

    def _run(self) -> None:
        while (record := self._records.get()) is not None:
            while not self._records.empty():
                newer = self._records.get()
                if newer is None:
                    return
                record = newer
            token, durable = record
            try:
                self._journal.write(durable)
            except OSError as problem:
                log.event("disk_refused", error=problem.strerror)
                self._tell(self._on_failed, token)
            else:
                self._tell(self._on_persisted, token)

    def _tell(self, callback: Callable[[int], None], token: int) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(callback, token)
