"""The components that are attached to the dispatcher after its creation: discovery, and those that are optional."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from larkweir.core.message import Headers
from larkweir.core.ports import AnswerVerifier, Budgets, DurableState, Membership


def retry_after_header(wait_ms: float) -> Headers:
    """`Retry-After` for `wait_ms` milliseconds. The platform's protocol allows whole or decimal seconds."""
    return [(b"Retry-After", b"%.3f" % (wait_ms / 1000.0))]


@dataclass(slots=True)
class Extensions:
    """Components that a node attaches before the first event. None: the component is off."""

    membership: Membership | None = None
    budgets: Budgets | None = None
    durable_state: DurableState | None = None
    answer_verifier: AnswerVerifier | None = None
    # Returns the headers of a refusal that says when to retry, given the wait in milliseconds.
    retry_after: Callable[[float], Headers] = retry_after_header
