"""Operators' calls: bytes to an order, and which of many callers gives way.

One line to a connection, ended by LF or CRLF; the answer is one line that begins with SUCCESS or FAILURE.
"""

from __future__ import annotations

from enum import Enum


class Order(Enum):
    STATUS = "STATUS"
    PAUSE = "PAUSE"
    RESUME = "RESUME"


KNOWN = ", ".join(order.value for order in Order)
MOST_LINE = 256  # bytes, with what ends it


class Line:
    """Puts one call's bytes together, in whatever pieces they come."""

    __slots__ = ("_part",)

    def __init__(self) -> None:
        self._part = b""

    def feed(self, data: bytes) -> Order | str | None:
        """The order, the reason why it is none, or None while the line is not whole. What follows the line is
        not read: there is one call to a connection.
        """
        self._part += data[: MOST_LINE + 1 - len(self._part)]
        line, end, _ = self._part.partition(b"\n")
        if not end:
            return f"a line holds at most {MOST_LINE} bytes" if len(self._part) > MOST_LINE else None
        return order_of(line.removesuffix(b"\r"))


def order_of(line: bytes) -> Order | str:
    """What a line without its end asks for, or why it asks for nothing."""
    try:
        word = line.decode("ascii").strip(" \t")
    except UnicodeDecodeError:
        return f"the line is not ASCII; known here: {KNOWN}"
    if not word:
        return f"the line is empty; known here: {KNOWN}"
    try:
        return Order(word)
    except ValueError:
        return f"{word!r:.60} is no call; known here: {KNOWN}"


def answer(done: bool, text: str = "") -> bytes:
    """One answer line. Whatever is in the text stays on it."""
    word = "SUCCESS" if done else "FAILURE"
    flat = "".join(char if " " <= char <= "~" else "?" for char in text)
    return f"{word} {flat}".rstrip().encode("ascii") + b"\n"


class Seats:
    """Who may stay connected: bounded in number and in time, so that callers that finish no call hold up nobody.

    `key` is whatever tells a caller from the others. Times are milliseconds on one clock.
    """

    MOST = 12  # callers at a time
    PATIENCE_MS = 5_000.0  # for a call to come whole
    LINGER_MS = 1_000.0  # for its answer to be read

    def __init__(self) -> None:
        self._unfinished: dict[object, float] = {}  # by their coming, the oldest first
        self._answered: dict[object, float] = {}

    def __len__(self) -> int:
        return len(self._unfinished) + len(self._answered)

    def enter(self, key: object, now_ms: float) -> object | None:
        """Seat one; the caller that gives way to it, if one has to: of those answered the first, else the oldest
        unfinished.
        """
        gives_way = self.next_to_leave()
        if gives_way is not None:
            self.left(gives_way)
        self._unfinished[key] = now_ms
        return gives_way

    def next_to_leave(self) -> object | None:
        """Who gives way to one more; none while there is room."""
        return next(iter(self._answered or self._unfinished)) if len(self) >= self.MOST else None

    def answered(self, key: object, now_ms: float) -> None:
        if self._unfinished.pop(key, None) is not None:
            self._answered[key] = now_ms

    def left(self, key: object) -> None:
        self._unfinished.pop(key, None)
        self._answered.pop(key, None)

    def overdue(self, now_ms: float) -> tuple[list[object], list[object]]:
        """Those whose call has not come in time, and those that have not read their answer; both stay seated until
        they are said to have left.
        """
        late = [key for key, since in self._unfinished.items() if now_ms - since >= self.PATIENCE_MS]
        unread = [key for key, since in self._answered.items() if now_ms - since >= self.LINGER_MS]
        return late, unread
