"""The interfaces of this package: the transport, the registers, and what a duty is."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from larkweir_owners.messages import Record, Version


class Transport(Protocol):
    """Carries messages between processes; each may be lost, duplicated, late or out of order."""

    def post(self, to: str, item: bytes) -> bool:
        """Send a message; False where the sender's budget does not allow it."""
        ...

    def alive(self) -> Sequence[str]:
        """Processes that are likely to answer: a hint, never the truth."""
        ...


class Outcome(Enum):
    """How an operation on a register ended."""

    DONE = "done"  # read, or written: a majority has it
    CONFLICT = "conflict"  # the register holds another version than was expected
    UNKNOWN = "unknown"  # no majority answered in time: it may or may not be written


class Result(NamedTuple):
    """`record`: what the register held when this was decided; None where nothing, or not known. `may_have_counted`: the
    write did not end as DONE, and yet it may have counted for a while.
    """

    outcome: Outcome
    record: Record | None
    may_have_counted: bool = False


OnResult = Callable[[Result], None]


class Registers(Protocol):
    """Conditional registers. Linearizable: a write counts only if the register held `expected` until then."""

    def read(self, key: str, on_result: OnResult) -> None:
        """Read a register; `on_result` is called later, or at once where too many operations are under way."""
        ...

    def write(self, key: str, expected: Version, record: Record, on_result: OnResult) -> None:
        """Write a register that holds the version `expected`, (0, 0) where nothing is held yet.

        Raises:
            InvalidWriteError: `record.version` is not above `expected`, or the key or the value is too long.
        """
        ...


class Duty(Protocol):
    """A singleton task of the fleet. Its owner steps it; what a step returns is the duty's complete state from then on.
    An exception from any of these is counted and ends nothing.
    """

    @property
    def name(self) -> str:
        """The key of its register."""
        ...

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """As its owner: the next state, at most `MAX_STATE_BYTES`; None where there is nothing to do."""
        ...

    def on_committed(self, state: bytes, version: Version) -> None:
        """At every process: a majority has accepted this state. Versions only go up."""
        ...


class Publisher(Protocol):
    """Where records go once they count (`state_replicator.StateReplicator`)."""

    def version(self, key: str) -> Version:
        """The highest version that this process has seen anywhere; a new term is above that too."""
        ...

    def announce(self, key: str, record: Record) -> None:
        """A new term or state, or a duty that was released, for every process."""
        ...

    def notify_preferred_owner(self, key: str, record: Record) -> None:
        """A released duty, once more."""
        ...

    def announce_renewal(self, key: str, record: Record) -> None:
        """A renewed lease, for the other candidates."""
        ...
