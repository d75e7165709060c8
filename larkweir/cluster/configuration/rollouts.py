"""Roll-outs in a committed document, which stores them next to the operators' configuration."""

from __future__ import annotations

import msgspec
from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import PATCH_MEMBERS, ROLLOUTS_KEY, Document

Rollouts = tuple[Rollout, ...]


def rollouts_of(document: Document) -> Rollouts:
    """Return the roll-outs of a committed document, at most one per service."""
    return msgspec.convert(document.get(ROLLOUTS_KEY, ()), Rollouts)


def with_rollouts(document: Document, rollouts: Rollouts) -> Document:
    """Return a committed document with its roll-outs replaced."""
    return {**document, ROLLOUTS_KEY: [msgspec.to_builtins(one) for one in rollouts]}


def operators_part(document: Document) -> Document:
    """Return the part of a committed document that operators read and write."""
    return {key: value for key, value in document.items() if key != ROLLOUTS_KEY}


def patchable_part(document: Document) -> Document:
    """Return the part of a committed document that a PATCH builds on.

    Members that only a patch may have, which earlier releases accepted in documents too, are left out.
    """
    return {key: value for key, value in operators_part(document).items() if key not in PATCH_MEMBERS}


def operators_text(value: str) -> str:
    """Return the operators' part of a committed document as text."""
    if ROLLOUTS_KEY not in value:
        return value
    return msgspec.json.encode(operators_part(msgspec.json.decode(value))).decode()


def service_names(document: Document) -> set[str]:
    """Return the names of the services of a valid configuration."""
    return {service["name"] for service in document["services"]}


def carry_over(current: Document, body: Document) -> Document:
    """Return a new configuration with the roll-outs of the current document.

    A roll-out of a service that the new configuration no longer has is dropped, unless it is still running.
    """
    if ROLLOUTS_KEY not in current:
        return body
    services = service_names(body)
    remaining = tuple(one for one in rollouts_of(current) if one.is_running or one.service in services)
    return with_rollouts(body, remaining)
