"""The replicated state machine (see `larkweir_replication`): how each command changes the replicated value."""

from __future__ import annotations

import msgspec
from result import Result

from larkweir.cluster.configuration.changes import apply_change
from larkweir.cluster.configuration.rollout_commands import apply_rollout_command


class _Kind(msgspec.Struct):
    """The tag of a command. A `ConfigurationChange` has none, as it existed before the other commands."""

    type: str | None = None


def apply_command(value: str, text: str) -> Result[str, object]:
    """Return the next value, or a `changes.Rejection`.

    Args:
        value: the committed document as text; empty if there is none yet.
        text: an encoded `ConfigurationChange` or `RolloutCommand`.
    """
    kind: _Kind = msgspec.json.decode(text, type=_Kind)
    if kind.type is None:
        return apply_change(value, text)
    return apply_rollout_command(value, text)
