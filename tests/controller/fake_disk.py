"""A controller's disk in memory."""

from __future__ import annotations

from collections.abc import Callable


class FakeDisk:
    """Files in memory, and the order in which they were written. Writes end when `complete` is called, or at once."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.written: list[str] = []
        self.is_full = False
        self.is_slow = False
        self._pending: list[Callable[[], None]] = []

    def read_file(self, name: str) -> bytes | None:
        return self.files.get(name)

    def replace_file(self, name: str, data: bytes, on_written: Callable[[bool], None] | None = None) -> None:
        def end() -> None:
            if not self.is_full:
                self.files[name] = data
            if on_written is not None:
                on_written(not self.is_full)

        self.written.append(name)
        self._pending.append(end)
        if not self.is_slow:
            self.complete()

    def complete(self) -> None:
        """Ends all writes that are pending, in order."""
        pending, self._pending = self._pending, []
        for end in pending:
            end()
