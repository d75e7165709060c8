"""The interfaces of this package: transport, registers, duties and the publisher of records."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from larkweir_owners.messages import Record, Version


class Transport(Protocol):
    """Carries messages between processes. Messages may be lost, duplicated, delayed or reordered."""

    def post(self, to: str, item: bytes) -> bool:
        """Send a message; return False if the sender's budget does not allow it."""
        ...

    def alive(self) -> Sequence[str]:
        """Processes that are likely to answer. This is only a hint."""
        ...


class Outcome(Enum):
    """How an operation on a register ended."""

    DONE = "done"  # the read or write is complete, confirmed by a majority
    CONFLICT = "conflict"  # the register does not hold the expected version
    UNKNOWN = "unknown"  # no majority answered in time: the write may or may not have taken effect


class Result(NamedTuple):
    """`record`: the register's content when the outcome was decided; None if the register was empty or its content is
    unknown. `may_have_counted`: the write did not end as DONE, but may have been in effect for a while.
    """

    outcome: Outcome
    record: Record | None
    may_have_counted: bool = False


OnResult = Callable[[Result], None]


class Registers(Protocol):
    """Linearizable registers with conditional writes: a write succeeds only if the register still holds `expected`."""

    def read(self, key: str, on_result: OnResult) -> None:
        """Read a register; `on_result` is called later, or immediately if too many operations are in progress."""
        ...

    def write(self, key: str, expected: Version, record: Record, on_result: OnResult) -> None:
        """Write a register if it holds the version `expected`; (0, 0) is the version of an empty register.

        Raises:
            InvalidWriteError: `record.version` is not above `expected`, or the key or the value is too long.
        """
        ...


class Duty(Protocol):
    """A singleton task of the fleet. The owner calls `step`, which returns the duty's complete new state. An exception
    from a method is counted, and the process continues.
    """

    @property
    def name(self) -> str:
        """The key of the duty's register."""
        ...

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """Called at the owner. Returns the next state, at most `MAX_STATE_BYTES`; None if there is nothing to do."""
        ...

    def on_committed(self, state: bytes, version: Version) -> None:
        """Called at every process once a majority has accepted this state. Versions only increase."""
        ...


class Publisher(Protocol):
    """Distributes records once a majority has accepted them (see `state_replicator.StateReplicator`)."""

    def version(self, key: str) -> Version:
        """The highest version that this process has seen from any source; a new term must be above it."""
        ...

    def announce(self, key: str, record: Record) -> None:
        """Send a new term, a new state or a released duty to every process."""
        ...

    def notify_preferred_owner(self, key: str, record: Record) -> None:
        """Notify the preferred owner again of a released duty."""
        ...

    def announce_renewal(self, key: str, record: Record) -> None:
        """Send a renewed lease to the other candidates."""
        ...
