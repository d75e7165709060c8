"""The roll-outs within a committed document, beside the operators' part of it."""

from __future__ import annotations

import msgspec
from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY, Document

Rollouts = tuple[Rollout, ...]


def rollouts_of(document: Document) -> Rollouts:
    """Return the roll-outs of a committed document, one for each service at most."""
    return msgspec.convert(document.get(ROLLOUTS_KEY, ()), Rollouts)


def with_rollouts(document: Document, rollouts: Rollouts) -> Document:
    """Return a committed document with these roll-outs in the place of its own."""
    return {**document, ROLLOUTS_KEY: [msgspec.to_builtins(one) for one in rollouts]}


def operators_part(document: Document) -> Document:
    """Return what operators wrote of a committed document, and what they read."""
    return {key: value for key, value in document.items() if key != ROLLOUTS_KEY}


def operators_text(value: str) -> str:
    """Return a committed document as the text that operators read."""
    if ROLLOUTS_KEY not in value:
        return value
    return msgspec.json.encode(operators_part(msgspec.json.decode(value))).decode()


def service_names(document: Document) -> set[str]:
    """Return the names of the services of a valid configuration."""
    return {service["name"] for service in document["services"]}


def carry_over(current: Document, body: Document) -> Document:
    """Return a new configuration with the roll-outs that are in place.

    One of a service that the configuration no longer has is dropped, unless it is running: it is kept until its end.
    """
    if ROLLOUTS_KEY not in current:
        return body
    services = service_names(body)
    remaining = tuple(one for one in rollouts_of(current) if one.is_running or one.service in services)
    return with_rollouts(body, remaining)
