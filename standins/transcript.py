"""The transcript of a scene: who said what to whom, in an order and in words that are the same at every run.

Nothing in it goes by the wall clock: what an actor is sent waits in its inbox, in the order of that actor's own
connections, and its line is written when the scene's script takes it. A line is `actor -> actor: what`. What no step
has taken by the end is listed there, so that a request too many, or a line of the log that nobody expected, changes
the text. Addresses, process ids and folders are written as names, times as the bound that they keep.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Generic, TypeVar

from standins.peers import PATIENCE_S

T = TypeVar("T")
# Left out where they are as usual: told only where they are missing or other.
USUAL = {"host": "api.internal", "x-customer": "acme"}
# Times: their unit in milliseconds, 0 where no bound tells anything; and their bounds, else those of the scene.
TIMES: dict[str, tuple[float, tuple[float, ...]]] = {
    "x-expires-in-ms": (1.0, ()),
    "retry-after": (1000.0, (2000.0,)),
    "monotonic_usec": (0.0, ()),
    "extend_timeout_usec": (0.0, ()),
}
COUNTS = ("callers", "store_waiting", "background_due")  # that go by the moment at which somebody looks
LONG = 80  # bytes of a body that are shown


class Transcript:
    """The lines of one scene, and the names that stand for what the system chose."""

    def __init__(self, *bounds_ms: float) -> None:
        """`bounds_ms`: a time is told as the smallest of these that it keeps. Far apart, so that a slow machine
        moves none over one.
        """
        self.bounds_ms = sorted(bounds_ms or (60_000.0,))
        self._lines: list[str] = []
        self._names: dict[str, str] = {}
        self._actors: list[Actor] = []

    def join(self, actor: Actor) -> None:
        self._actors.append(actor)

    def name(self, text: object, name: str) -> None:
        """From now on, and in what was written before, `text` is `name`."""
        self._names[str(text)] = name

    def line(self, source: str, to: str, what: str) -> None:
        self._lines.append(f"{source} -> {to}: {what}")

    def part(self, title: str) -> None:
        """A heading in the script."""
        self._lines += [""] * bool(self._lines) + [f"# {title}"]

    @contextmanager
    def untold(self, source: str, to: str, what: str) -> Iterator[None]:
        """One line for all that is written meanwhile, which another scene tells."""
        before = len(self._lines)
        yield
        self._lines[before:] = [f"{source} -> {to}: {what}"]

    def time(self, header: str, value: str) -> str:
        unit, bounds = TIMES[header]
        if not unit:
            return "<time>"
        for bound in bounds or self.bounds_ms:
            if float(value) * unit <= bound:
                return f"<at most {bound:g} ms>"
        return "<too long>"

    def text(self) -> str:
        """The whole, with what nobody has taken at its end."""
        lines = list(self._lines)
        left = [f"{source} -> {to}: {what}" for actor in self._actors for source, to, what in actor.left()]
        if left:
            lines += ["", "# Not taken by any step", *left]
        return self.named("\n".join(lines)) + "\n"

    def named(self, text: str) -> str:
        for known in sorted(self._names, key=len, reverse=True):
            text = re.sub(rf"(?<![\w.]){re.escape(known)}(?!\w)", self._names[known], text)
        return text


class Actor:
    """Whoever takes part; what has come for it and is not taken yet, as (source, what)."""

    def __init__(self, script: Transcript, name: str) -> None:
        self.script, self.name = script, name
        script.join(self)

    def left(self) -> list[tuple[str, str, str]]:
        return []


class Inbox(Generic[T]):
    """What came, in its order, until a step takes it."""

    def __init__(self, whose: str) -> None:
        self._whose = whose
        self.items: deque[T] = deque()
        self._came = asyncio.Event()

    def came(self, item: T) -> None:
        self.items.append(item)
        self._came.set()

    async def take(self) -> T:
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not self.items:
                    self._came.clear()
                    await self._came.wait()
        except TimeoutError:
            raise AssertionError(f"nothing came to {self._whose}") from None
        return self.items.popleft()


def shown(data: bytes) -> str:
    if len(data) > LONG:
        return f"{len(data)} bytes"
    return data.decode("latin-1").replace("\n", "\\n")


def message(script: Transcript, first: str, headers: Mapping[str, str], body: bytes) -> str:
    """A request or an answer on one line. The length goes without saying where it is the body's."""
    usual = USUAL if not first[:1].isdigit() else {}
    usual = usual | {"content-length": str(len(body))}
    parts = [first]
    for name, value in headers.items():
        if usual.get(name) != value:
            parts.append(f"{name}={script.time(name, value) if name in TIMES else value}")
    parts += [f"no {name}" for name in usual if name not in headers and (name != "content-length" or body)]
    if body:
        parts.append(f"[{shown(body)}]")
    return " ".join(parts)
