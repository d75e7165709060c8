"""What duties have in common whose state is a struct in the register, which every balancer follows. Pure logic."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Generic, TypeVar

import msgspec
from larkweir_owners.messages import Version

Key = TypeVar("Key")
Value = TypeVar("Value")
State = TypeVar("State", bound=msgspec.Struct)

encode_state = msgspec.msgpack.Encoder().encode


def state_decoder(kind: type[State]) -> Callable[[bytes], State]:
    """A reader of the register. A state that can't be read is the empty one: the duty begins anew, and balancers do not
    go back.
    """
    decoder: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(kind)

    def read(state: bytes) -> State:
        try:
            return decoder.decode(state)
        except msgspec.DecodeError:
            return kind()

    return read


def retain_keys(values: dict[Key, Value], keys: Container[Key]) -> None:
    """Delete the values of all other keys."""
    for key in [key for key in values if key not in keys]:
        del values[key]


class ReplicatedTask(Generic[State]):
    """A duty's state as it was committed last. Subclasses say which changes of it are notable, and add the duty's own
    work.
    """

    def __init__(self, incarnation: int, read: Callable[[bytes], State]) -> None:
        """`incarnation`: of this balancer's reports; a restarted balancer has a higher one."""
        self.next_ms = 0.0  # when `tick` is due
        self.state = read(b"")
        self.rejected = 0  # reports, or rows of them, that were malformed or beyond the bounds
        self._incarnation, self._read = incarnation, read
        self._term = 0  # of the state
        self._is_changed = False

    def on_committed(self, state: bytes, version: Version) -> None:
        """Follow a state that a majority of the register's replicas has."""
        before, self.state = self.state, self._read(state)
        self._term, self.next_ms = version[0], 0.0
        self._is_changed = self._is_changed or self._notable_part(self.state) != self._notable_part(before)
        self._on_state(before)

    def is_notable(self) -> bool:
        """Whether what was committed since the last call is more than a heartbeat."""
        found, self._is_changed = self._is_changed, False
        return found

    def _notable_part(self, state: State) -> object:
        """The part of a state that is notable when it changes."""
        raise NotImplementedError

    def _on_state(self, before: State) -> None:
        """A state was committed after `before`."""
        raise NotImplementedError
