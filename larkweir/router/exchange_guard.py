"""What nobody expected ends the one exchange that it happens in, and nothing else.

An exchange is entered by the event loop: a connection's bytes, a timer, an answer of a controller. An exception that
left it there would be a traceback in the log, and a client that waits for its deadline with its token, its quota and
its connection to an upstream.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import Concatenate, ParamSpec, Protocol, TypeVar

from larkweir.cluster.tasks import log_failure


class Guarded(Protocol):
    """What can end by itself when one of its entry points has raised."""

    def fail(self, error: Exception) -> None:
        """End after an unexpected exception; raises nothing."""


P = ParamSpec("P")
G = TypeVar("G", bound=Guarded)


def guarded(method: Callable[Concatenate[G, P], None]) -> Callable[Concatenate[G, P], None]:
    """Make a method an entry point: an exception in it is handed to `fail` instead of its caller."""

    def entry_point(self: G, /, *args: P.args, **kwargs: P.kwargs) -> None:
        try:
            method(self, *args, **kwargs)
        except Exception as error:  # whatever it is, the other exchanges go on
            self.fail(error)

    functools.update_wrapper(entry_point, method)
    return entry_point


def run_each(steps: Iterable[Callable[[], None]]) -> None:
    """Run all steps of a clean-up, also those behind one that raises; each exception is logged."""
    for step in steps:
        try:
            step()
        except Exception as error:
            log_failure("exchange_cleanup_failed", error)
