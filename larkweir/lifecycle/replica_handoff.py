"""Tells the successor that goes on under this process's name what the replica's file held when it was closed.

Pure logic. The mark of the file and the successor's request for one may come in either order. Once this process has the
name again, its replica may write: it then begins with a new `ReplicaHandoff`, so that no older mark is sent to a later
successor.
"""

from __future__ import annotations

from typing import NamedTuple

from larkweir.lifecycle.channel import Payload, ReplicaMark


class MarkDelivery(NamedTuple):
    """A mark, and the serial of the successor that it is to be sent to."""

    serial: int
    mark: ReplicaMark


class ReplicaHandoff:
    """One closing of a replica's file. Its mark is delivered once."""

    def __init__(self) -> None:
        self._mark = ""
        self._requested_by = 0  # the successor's serial, 0: nobody has asked

    def on_accepted(self, serial: int, request: Payload) -> MarkDelivery | None:
        """A successor accepts; `request` is a `ReplicaMark` where it can make use of one."""
        if isinstance(request, ReplicaMark):
            self._requested_by = serial
        return self._deliver()

    def on_closed(self, mark: str) -> MarkDelivery | None:
        """The file is closed for good, with this mark; an empty one is of no use."""
        self._mark = mark
        return self._deliver()

    def _deliver(self) -> MarkDelivery | None:
        if not (self._mark and self._requested_by):
            return None
        delivery = MarkDelivery(self._requested_by, ReplicaMark(self._mark))
        self._mark, self._requested_by = "", 0
        return delivery
