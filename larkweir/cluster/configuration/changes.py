"""An operator's change of the configuration: its identity, and what it makes of the present one."""

from __future__ import annotations

from enum import IntEnum
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from larkweir.cluster.configuration.documents import Document, PatchError, apply_patch

IDENTITY_LENGTH = 24


class RejectionReason(IntEnum):
    """Why a change is not taken; the number is the status that the operator is given."""

    INVALID = 400
    STALE = 412


class Rejection(msgspec.Struct, frozen=True):
    """A refusal with its reason in a line."""

    reason: RejectionReason
    detail: str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """A whole configuration (`patch` false) or a patch, to be built on the version `base`."""

    patch: bool
    base: int
    body: str

    @property
    def identity(self) -> str:
        """The same for the same order, whoever sends it again and however late."""
        text = f"{self.patch} {self.base} {self.body}"
        return sha256(text.encode()).hexdigest()[:IDENTITY_LENGTH]

    def encode(self) -> str:
        """As text for the replicas."""
        return msgspec.json.encode(self).decode()


def configuration_version(value: str) -> int:
    """The version of a configuration; 0 where there is none yet."""
    return int(msgspec.json.decode(value)["generation"]) if value else 0


def apply_change(value: str, change: str) -> Result[str, object]:
    """The next configuration as text, or `Rejection`. A function of its arguments alone."""
    order: ConfigurationChange = msgspec.json.decode(change, type=ConfigurationChange)
    current: Document = msgspec.json.decode(value) if value else {}
    version = current.get("generation", 0)
    if order.base != version:
        return Err(Rejection(RejectionReason.STALE, f"the version in place is {version}, not {order.base}"))
    try:
        body = msgspec.json.decode(order.body)
    except msgspec.DecodeError as problem:
        return _invalid(f"the body is no JSON: {problem}")
    if not isinstance(body, dict):
        return _invalid("the body is no object")
    generation = body.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation <= version:
        return _invalid(f"generation: {generation!r} is not a whole number above {version}")
    if order.patch:
        if not current:
            return _invalid("there is no configuration to change yet")
        try:
            body = apply_patch(current, body)
        except PatchError as problem:
            return _invalid(str(problem))
    from larkweir.cluster.configuration.schema import first_problem  # its library takes long to import

    wrong = first_problem(body)
    if wrong is not None:
        return _invalid(wrong)
    return Ok(msgspec.json.encode(body).decode())


def _invalid(detail: str) -> Result[str, object]:
    return Err(Rejection(RejectionReason.INVALID, detail))
