"""Prompt tokens waiting to be prefilled at each engine: those of this router, and those last reported by its peers.

Engines are identified by the numbers of the `TokenList`. Pure logic.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class EngineBacklog:
    """The tokens waiting at one engine."""

    own_tokens: float = 0.0
    peer_tokens: float = 0.0

    @property
    def total_tokens(self) -> float:
        """The tokens of all routers, as far as this one knows."""
        return self.own_tokens + self.peer_tokens


class PrefillBacklog:
    """The waiting tokens by engine."""

    def __init__(self) -> None:
        """Start without waiting tokens."""
        self._engines: dict[int, EngineBacklog] = {}

    def add_own(self, engine: int, tokens: float, *, has_attempts: bool) -> None:
        """Change this router's tokens at an engine by `tokens`; they are 0 if it has no attempts in flight there."""
        backlog = self._engines.setdefault(engine, EngineBacklog())
        backlog.own_tokens = max(0.0, backlog.own_tokens + tokens) if has_attempts else 0.0

    def set_peers(self, tokens: Mapping[int, float]) -> None:
        """Set the tokens of all peers together, by engine; engines that are not named have none."""
        for backlog in self._engines.values():
            backlog.peer_tokens = 0.0
        for engine, peer_tokens in tokens.items():
            self._engines.setdefault(engine, EngineBacklog()).peer_tokens = peer_tokens

    def remove(self, engine: int) -> None:
        """Forget an engine that is gone."""
        self._engines.pop(engine, None)

    def total_tokens(self, engine: int) -> float:
        """The tokens of all routers that wait at an engine."""
        backlog = self._engines.get(engine)
        return backlog.total_tokens if backlog is not None else 0.0

    def above(self, max_tokens: float) -> set[int]:
        """The engines where more than `max_tokens` wait."""
        return {engine for engine, backlog in self._engines.items() if backlog.total_tokens > max_tokens}

    def own(self) -> dict[int, int]:
        """This router's waiting tokens by engine, rounded; engines with less than one are left out."""
        return {
            engine: round(backlog.own_tokens)
            for engine, backlog in self._engines.items()
            if backlog.own_tokens >= 1.0
        }
