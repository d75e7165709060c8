"""The prompt of a request, as far as the choice of an engine depends on it."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_LATENCY_TARGET_MS = 500.0
MIN_SHARED_PREFIX_TOKENS = 1_024.0  # reading a shorter prefix again costs less than opening a connection


@dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine has to read before its first event. Token counts are those that the client states."""

    prefix: str = ""  # names the part that it shares with other requests; empty: it shares none
    tokens: float = 0.0  # of the whole prompt
    prefix_tokens: float = 0.0  # of the shared part
    latency_target_ms: float = DEFAULT_LATENCY_TARGET_MS  # from the request's arrival to its first event

    @property
    def is_shared(self) -> bool:
        """Whether the prefix is long enough to be cached at as few engines as possible."""
        return bool(self.prefix) and self.prefix_tokens >= MIN_SHARED_PREFIX_TOKENS
