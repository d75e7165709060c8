"""Tracks which record is on the disk of a replica, and which writes are pending."""

from __future__ import annotations

from larkweir_replication.effects import Persist
from larkweir_replication.messages import NO_EPOCH, DurableState, Snapshot


class Durability:
    """Tracks the writes of one replica by consecutively numbered tokens; the disk completes them in that order."""

    def __init__(self, stored_state: DurableState | None = None) -> None:
        """`stored_state`: the record that is on the disk at the start."""
        self.durable = stored_state or DurableState(NO_EPOCH, None)
        self._pending: dict[int, DurableState] = {}
        self._last_token = 0

    @property
    def has_pending_writes(self) -> bool:
        """Whether some writes have neither completed nor failed yet."""
        return bool(self._pending)

    def begin_write(self, record: DurableState) -> Persist:
        """Returns the effect that makes the record durable."""
        self._last_token += 1
        self._pending[self._last_token] = record
        return Persist(self._last_token, record)

    def complete_write(self, token: int) -> DurableState | None:
        """Marks the record of `token` and all earlier ones as durable.

        Returns the record, or None if it is no longer pending.
        """
        record = self._pending.pop(token, None)
        if record is None:
            return None
        self._drop_pending(token)
        self.durable = record
        return record

    def fail_write(self, token: int) -> None:
        """Drops the record of `token` and all earlier ones, whose writes failed."""
        self._drop_pending(token)

    def is_durable_or_pending(self, snapshot: Snapshot) -> bool:
        """Whether that state is on the disk or in a pending write."""
        if self.durable.snapshot == snapshot:
            return True
        return any(record.snapshot == snapshot for record in self._pending.values())

    def _drop_pending(self, last_token: int) -> None:
        for token in [one for one in self._pending if one <= last_token]:
            del self._pending[token]
