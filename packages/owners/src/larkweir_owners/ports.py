"""The ports of this package: what carries items, what keeps registers, and what a duty is."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from larkweir_owners.messages import Record, Version


class Transport(Protocol):
    """Carries items between processes; each may be lost, doubled, late or out of order."""

    def post(self, to: str, item: bytes) -> bool:
        """False where the sender's budget says no."""
        ...

    def alive(self) -> Sequence[str]:
        """Whom to ask: a hint, never the truth."""
        ...


class Outcome(Enum):
    DONE = "done"  # read, or written: a majority has it
    CONFLICT = "conflict"  # the register holds another version than was expected
    UNKNOWN = "unknown"  # no majority answered in time: it may or may not be written


class Result(NamedTuple):
    """`record`: what the register held when this was decided; None where nothing, or not known. `maybe`: the write did
    not end as DONE, and yet it may have counted for a while."""

    outcome: Outcome
    record: Record | None
    may_have_counted: bool = False


OnResult = Callable[[Result], None]


class Registers(Protocol):
    """Conditional registers. Linearizable: a write counts only if the register held `expected` until then."""

    def read(self, key: str, on_result: OnResult) -> None: ...

    def write(self, key: str, expected: Version, record: Record, on_result: OnResult) -> None:
        """`expected` is (0, 0) where nothing is held yet. `record.version` must be above it: ValueError if not."""
        ...


class Duty(Protocol):
    """Work for the fleet. Whoever holds it steps it; what a step gives is the duty's whole state from then on."""

    @property
    def name(self) -> str: ...

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """As its owner: the state that shall count next, at most 6 KiB; None where there is nothing to do."""
        ...

    def on_committed(self, state: bytes, version: Version) -> None:
        """At every copy: a majority has taken this state. Versions only go up."""
        ...
