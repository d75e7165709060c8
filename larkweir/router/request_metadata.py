"""What a client states about its request in headers, validated: its deadline, its tokens, the blocks of its prompt.

Every number that a client states is read here, and nowhere else: it is whole, not negative and at most a named maximum.
A client could otherwise lower its own quota with a negative number, or end its exchange with one that is too large for
a float.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from larkweir.cluster.errors import LarkweirError

MAX_TOKENS = 100_000_000  # of one number: two hundred times the largest context windows
MAX_DEADLINE_MS = 86_400_000  # a day: no route waits for longer
MAX_PROMPT_BLOCKS = 1_024
MAX_BLOCK_ID_BYTES = 128
MAX_EVENT_ID_BYTES = 1_024
MAX_USAGE_NUMBERS = 2  # tokens of the prompt, and the most that are generated

Headers = Sequence[tuple[bytes, bytes]]


class InvalidHeaderError(LarkweirError):
    """A header's value is not what its definition allows; the request is answered with 400."""

    def __init__(self, header: str, problem: str) -> None:
        """`header`: its name as it is usually written. `problem`: what is wrong, without the client's bytes."""
        super().__init__(f"{header}: {problem}")
        self.header = header


@dataclass(frozen=True, slots=True)
class PromptBlock:
    """A part of a prompt (`X-Prompt-Prefix`); requests that name the same blocks first share that prefix."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What is known of a request beside its method and target. Numbers are bounded."""

    deadline_ms: int | None = None  # how long the client waits (`X-Deadline-Ms`); None: it does not say
    prompt_tokens: int | None = None  # first number of `X-Token-Usage`; None: it does not say
    max_generated_tokens: int = 0  # second number of it
    prompt_blocks: tuple[
        PromptBlock, ...
    ] = ()  # in order; the last belongs to the request or its session alone

    @property
    def total_tokens(self) -> float | None:
        """Tokens of the prompt and the most that are generated; None where the client does not say."""
        return None if self.prompt_tokens is None else float(self.prompt_tokens + self.max_generated_tokens)


def parse_metadata(headers: Headers) -> RequestMetadata:
    """Read the headers that state something about a request. Of a repeated header the first value counts.

    Args:
        headers: of the request, names in lower case.

    Raises:
        InvalidHeaderError: a value is not what its header allows.
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
    # The length is bounded first: Python refuses to convert thousands of digits, and is slow with hundreds.
    if not digits.isdigit() or len(digits) > len(str(maximum)):
        raise InvalidHeaderError(header, f"no whole number from 0 to {maximum}")
    number = int(digits)
    if number > maximum:
        raise InvalidHeaderError(header, f"no whole number from 0 to {maximum}")
    return number
