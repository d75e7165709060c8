"""The properties of a prompt that the selection of an engine depends on."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_LATENCY_TARGET_MS = 500.0
MIN_SHARED_PREFIX_TOKENS = 1_024.0  # prefilling a shorter prefix again costs less than a new connection


@dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine has to prefill before its first event. Token counts are those stated by the client."""

    prefix: str = ""  # identifies the part shared with other requests; empty: none is shared
    tokens: float = 0.0  # of the whole prompt
    prefix_tokens: float = 0.0  # of the shared part
    latency_target_ms: float = DEFAULT_LATENCY_TARGET_MS  # from the request's arrival to its first event

    @property
    def is_shared(self) -> bool:
        """Whether the prefix is long enough to be cached at as few engines as possible."""
        return bool(self.prefix) and self.prefix_tokens >= MIN_SHARED_PREFIX_TOKENS
