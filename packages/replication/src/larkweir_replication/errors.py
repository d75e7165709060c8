"""The exceptions that this package raises, besides OSError from file operations."""

from __future__ import annotations


class ReplicationError(Exception):
    """The base class of this package's exceptions."""


class NotRecoveredError(ReplicationError):
    """The state of a replica was used before it was recovered. This is a programming error, not a network fault."""

    def __init__(self, node: str) -> None:
        """`node`: the name of the replica."""
        super().__init__(f"{node} has not recovered its state yet")


class DeltaMismatchError(ReplicationError):
    """A delta can't be applied to this state; the whole state must be requested."""
