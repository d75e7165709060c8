"""The exceptions of this package; `OwnersError` is their base class."""

from __future__ import annotations


class OwnersError(Exception):
    """The base of all errors of this package; the message states the cause."""


class InvalidWriteError(OwnersError, ValueError):
    """A write to a register that no replica could accept: its version is not above the expected one, or its key or
    value is too long.
    """


class FolderInUseError(OwnersError, OSError):
    """Another process holds the lock on an acceptor's folder (`errno` is EBUSY)."""


class FileTooLargeError(OwnersError, OSError):
    """A file is larger than any acceptor's file can be (`errno` is EFBIG)."""
