"""Rules: whom a life tells what its keeper's file held when it was closed: the successor that goes on under its name.

A mark and a wish may come in either order. Once this life has the name again, its keeper may write: it then begins with
a new `Closing`, so that no mark from before is told to a later successor.
"""

from __future__ import annotations

from larkweir.lifecycle.channel import Kept


class Closing:
    def __init__(self) -> None:
        self._mark = ""
        self._wanted = 0  # the successor's serial, 0: nobody has asked

    def took(self, serial: int, wish: object) -> tuple[int, Kept] | None:
        """A successor has taken over; `wish` is a `Kept` where it can make use of a mark. Gives whom to tell what."""
        if isinstance(wish, Kept):
            self._wanted = serial
        return self._told()

    def closed(self, mark: str) -> tuple[int, Kept] | None:
        """The file is closed for good. Gives whom to tell what."""
        self._mark = mark
        return self._told()

    def _told(self) -> tuple[int, Kept] | None:
        """Once."""
        if not (self._mark and self._wanted):
            return None
        told = self._wanted, Kept(self._mark)
        self._mark, self._wanted = "", 0
        return told
