"""Operators' changes of the configuration: their identity, and how they apply to the committed document.

The replicas call `apply_change` through `commands.apply_command`.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from larkweir.cluster.configuration.documents import (
    PATCH_MEMBERS,
    ROLLOUTS_KEY,
    UPSERT,
    Document,
    DocumentPatch,
    PatchError,
    parse_patch,
)
from larkweir.cluster.configuration.rollouts import carry_over, patchable_part

IDENTITY_LENGTH = 24
GENERATION = "generation"
# Members of a configuration or of a patch that are no lists of items.
SINGLE_MEMBERS = (GENERATION, "limits", *PATCH_MEMBERS, ROLLOUTS_KEY)


class RejectionReason(IntEnum):
    """Why a change is rejected; the value is the HTTP status of the response to the operator."""

    INVALID = 400
    NOT_FOUND = 404
    CONFLICT = 409
    STALE = 412
    UNAVAILABLE = 503


class Rejection(msgspec.Struct, frozen=True):
    """A change was rejected; `detail` states the reason in one line."""

    reason: RejectionReason
    detail: str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """A change of the configuration.

    Attributes:
        patch: whether `body` is a patch; otherwise it is a complete configuration.
        base: the configuration version that the change builds on; 0 if there is no configuration yet.
        body: JSON, as the operator sent it.
    """

    patch: bool
    base: int
    body: str

    @property
    def identity(self) -> str:
        """An idempotency key: equal changes have equal keys, so that a repeated change is recognised."""
        text = f"{self.patch} {self.base} {self.body}"
        return sha256(text.encode()).hexdigest()[:IDENTITY_LENGTH]

    def encode(self) -> str:
        """Return the change as text, for `apply_change`."""
        return msgspec.json.encode(self).decode()


def configuration_version(value: str) -> int:
    """Return the version of a configuration; 0 if there is none yet."""
    return int(msgspec.json.decode(value)[GENERATION]) if value else 0


def apply_change(value: str, change: str) -> Result[str, object]:
    """Return the next document as text, or a `Rejection`. Does not raise, whatever an operator sends.

    Args:
        value: the current document as text; empty if there is none yet.
        change: an encoded `ConfigurationChange`.
    """
    parsed: ConfigurationChange = msgspec.json.decode(change, type=ConfigurationChange)
    current: Document = msgspec.json.decode(value) if value else {}
    version = current.get(GENERATION, 0)
    if parsed.base != version:
        return Err(Rejection(RejectionReason.STALE, f"the version in place is {version}, not {parsed.base}"))
    try:
        return _next_value(parsed, current, version)
    except RecursionError:
        return _invalid("the body is nested too deeply")


def _next_value(change: ConfigurationChange, current: Document, version: int) -> Result[str, object]:
    try:
        body = msgspec.json.decode(change.body)
    except msgspec.DecodeError as error:
        return _invalid(f"the body is no JSON: {error}")
    if not isinstance(body, dict):
        return _invalid("the body is no object")
    generation = body.get(GENERATION)
    if not isinstance(generation, int) or isinstance(generation, bool) or generation <= version:
        return _invalid(f"generation: {generation!r} is not a whole number above {version}")
    if change.patch:
        if not current:
            return _invalid("there is no configuration to change yet")
        try:
            body = _operators_patch(body).apply_to(patchable_part(current))
        except PatchError as error:
            return _invalid(str(error))
    if ROLLOUTS_KEY in body:
        return _invalid(f"{ROLLOUTS_KEY}: roll-outs are no part of a configuration")
    from larkweir.cluster.configuration.schema import (
        first_problem,
    )  # imported late, as pydantic is slow to import

    wrong = first_problem(body)
    if wrong is not None:
        return _invalid(wrong)
    return Ok(msgspec.json.encode(carry_over(current, body)).decode())


def _operators_patch(body: Document) -> DocumentPatch:
    """Read a patch as operators send it. Only its own `generation` sets the version of the document that results.

    Raises:
        PatchError: the patch is malformed, or `upsert` sets a member that is no list of items.
    """
    patch = parse_patch(body)
    for key in SINGLE_MEMBERS:
        if key in body.get(UPSERT, {}):
            raise PatchError(f"upsert: {key} is no list of items")
    return patch


def _invalid(detail: str) -> Result[str, object]:
    return Err(Rejection(RejectionReason.INVALID, detail))
