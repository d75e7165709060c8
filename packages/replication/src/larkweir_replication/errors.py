"""The exceptions that this package raises, besides OSError of its files."""

from __future__ import annotations


class ReplicationError(Exception):
    """The root of this package's exceptions."""


class NotRecoveredError(ReplicationError):
    """A replica that has no state yet was used as if it had one: a programming error, never of the network."""

    def __init__(self, node: str) -> None:
        """`node`: the replica."""
        super().__init__(f"{node} has not recovered its state yet")


class DeltaMismatchError(ReplicationError):
    """A delta can't be applied here: the state as a whole is needed."""
