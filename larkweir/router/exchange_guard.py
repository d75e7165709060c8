"""Ends only the affected exchange when an unexpected exception is raised.

The event loop calls an exchange when bytes arrive on a connection, a timer fires or a controller responds. If an
exception propagated to the event loop, it would only leave a traceback in the log: the client would wait until its
deadline, and the exchange would keep its upstream token, its quota charge and its upstream connection until then.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import Concatenate, ParamSpec, Protocol, TypeVar

from larkweir.cluster.tasks import log_failure


class Guarded(Protocol):
    """An object whose `fail` method ends it after one of its entry points has raised an exception."""

    def fail(self, error: Exception) -> None:
        """End after an unexpected exception. Must not raise."""


P = ParamSpec("P")
G = TypeVar("G", bound=Guarded)


def guarded(method: Callable[Concatenate[G, P], None]) -> Callable[Concatenate[G, P], None]:
    """Make a method an entry point: an exception in it is passed to `fail` instead of the caller."""

    def entry_point(self: G, /, *args: P.args, **kwargs: P.kwargs) -> None:
        try:
            method(self, *args, **kwargs)
        except Exception as error:  # of any type, so that the other exchanges continue
            self.fail(error)

    functools.update_wrapper(entry_point, method)
    return entry_point


def run_each(steps: Iterable[Callable[[], None]]) -> None:
    """Run all steps of a cleanup, even after a step has raised; each exception is logged."""
    for step in steps:
        try:
            step()
        except Exception as error:
            log_failure("exchange_cleanup_failed", error)
