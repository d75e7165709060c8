"""Parses and validates the headers in which a client states a deadline, token counts and the blocks of its prompt.

All numbers in clients' headers are parsed in this module. Each must be an integer from 0 to a fixed maximum. Otherwise
a client could reduce its own quota usage with a negative number, or make its exchange fail with a number that is too
large for a float.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from larkweir.cluster.errors import LarkweirError

MAX_TOKENS = 100_000_000  # maximum of each token count: two hundred times the largest context windows
MAX_DEADLINE_MS = 86_400_000  # one day: no route has a longer time-out
MAX_PROMPT_BLOCKS = 1_024
MAX_BLOCK_ID_BYTES = 128
MAX_EVENT_ID_BYTES = 1_024
MAX_USAGE_NUMBERS = 2  # tokens of the prompt, and maximum number of generated tokens

Headers = Sequence[tuple[bytes, bytes]]


class InvalidHeaderError(LarkweirError):
    """The value of a header is invalid. The client gets status 400."""

    def __init__(self, header: str, problem: str) -> None:
        """`header`: the name in its usual capitalization. `problem`: what is wrong, without the client's bytes."""
        super().__init__(f"{header}: {problem}")
        self.header = header


@dataclass(frozen=True, slots=True)
class PromptBlock:
    """A part of a prompt (`X-Prompt-Prefix`). Requests whose first blocks are the same share that prefix."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the client's headers state about a request. All numbers are bounded."""

    deadline_ms: int | None = None  # how long the client waits (`X-Deadline-Ms`); None: not stated
    prompt_tokens: int | None = None  # first number of `X-Token-Usage`; None: not stated
    max_generated_tokens: int = 0  # second number of `X-Token-Usage`
    # In the order of the prompt. The last block belongs to this request or its session alone.
    prompt_blocks: tuple[PromptBlock, ...] = ()

    @property
    def total_tokens(self) -> float | None:
        """Tokens of the prompt plus the maximum number of generated tokens; None if not stated."""
        return None if self.prompt_tokens is None else float(self.prompt_tokens + self.max_generated_tokens)


def parse_metadata(headers: Headers) -> RequestMetadata:
    """Parse the metadata headers of a request. The first value of a repeated header is used.

    Args:
        headers: the headers of the request, with names in lower case.

    Raises:
        InvalidHeaderError: the value of a header is invalid.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in _METADATA_HEADERS:
            values.setdefault(name, value)
    if not values:
        return RequestMetadata()
    if len(values.get(b"last-event-id", b"")) > MAX_EVENT_ID_BYTES:
        raise InvalidHeaderError("Last-Event-Id", f"longer than {MAX_EVENT_ID_BYTES} bytes")
    deadline = values.get(b"x-deadline-ms", b"")
    usage = _parse_usage(values.get(b"x-token-usage", b""))
    return RequestMetadata(
        deadline_ms=_parse_number("X-Deadline-Ms", deadline, MAX_DEADLINE_MS) if deadline else None,
        prompt_tokens=usage[0] if usage else None,
        max_generated_tokens=sum(usage[1:]),
        prompt_blocks=_parse_blocks(values.get(b"x-prompt-prefix", b"")),
    )


_METADATA_HEADERS = frozenset((b"last-event-id", b"x-deadline-ms", b"x-token-usage", b"x-prompt-prefix"))


def _parse_usage(value: bytes) -> tuple[int, ...]:
    if not value:
        return ()
    numbers = value.split(b",")
    if len(numbers) > MAX_USAGE_NUMBERS:
        raise InvalidHeaderError("X-Token-Usage", f"more than {MAX_USAGE_NUMBERS} numbers")
    return tuple(_parse_number("X-Token-Usage", number, MAX_TOKENS) for number in numbers)


def _parse_blocks(value: bytes) -> tuple[PromptBlock, ...]:
    if not value:
        return ()
    blocks = value.split(b",")
    if len(blocks) > MAX_PROMPT_BLOCKS:
        raise InvalidHeaderError("X-Prompt-Prefix", f"more than {MAX_PROMPT_BLOCKS} blocks")
    return tuple(_parse_block(block) for block in blocks)


def _parse_block(block: bytes) -> PromptBlock:
    block_id, separator, tokens = block.partition(b":")
    block_id = block_id.strip()
    if not block_id or not separator or len(block_id) > MAX_BLOCK_ID_BYTES:
        raise InvalidHeaderError("X-Prompt-Prefix", "a block is no ID:TOKENS")
    return PromptBlock(block_id.decode("latin-1"), _parse_number("X-Prompt-Prefix", tokens, MAX_TOKENS))


def _parse_number(header: str, text: bytes, maximum: int) -> int:
    digits = text.strip()
    # The length is checked first: Python refuses to convert thousands of digits, and is slow with hundreds.
    if not digits.isdigit() or len(digits) > len(str(maximum)):
        raise InvalidHeaderError(header, f"no whole number from 0 to {maximum}")
    number = int(digits)
    if number > maximum:
        raise InvalidHeaderError(header, f"no whole number from 0 to {maximum}")
    return number
