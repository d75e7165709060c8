"""Which requests are captured: a threshold on one hash of the trace's id, and the text that carries it.

As in consistent probability sampling (OpenTelemetry, "TraceState: Probability Sampling", rejection threshold `th` and
randomness `rv` of 56 bits): a request is captured where its randomness is at least the threshold. A higher threshold
keeps a subset of what a lower one keeps, so hops that differ still agree on the rarer set, and 2**56 / (2**56 -
threshold) is how many requests a record stands for. The randomness is BLAKE2b of the trace's id: ids here are any text,
so that their own last bits can't be trusted to be random.
"""

from __future__ import annotations

import math
import re
from functools import lru_cache
from hashlib import blake2b

import msgspec

BITS = 56
CAPTURE_NONE = 1 << BITS  # as a threshold: nothing is captured
MAX_HOPS_SENT = 8  # names of hops that travel
MAX_FIELD_CHARS = 500  # characters of what travels
_SIGNIFICANT_BITS = 12  # of a probability: thresholds stay short, and at most 1/2048 below what was asked for

TableVersion = tuple[int, int]  # (term, number) of a table of thresholds

_FIELD = re.compile(
    r"th:([0-9a-f]{0,14}|none);rv:([0-9a-f]{14});k:([0-9a-f]{8});n:(\d{1,15})\.(\d{1,15});by:([\w.:\[\]%,-]{0,400})\Z",
    re.ASCII,
)
_BACK = re.compile(r"th:([0-9a-f]{0,14}|none);by:([\w.:\[\]%,-]{0,400})\Z", re.ASCII)
_NAME = re.compile(r"[\w.:\[\]%-]{1,48}\Z", re.ASCII)


def randomness(trace_id: bytes) -> int:
    """56 bits that are the same for a trace wherever they are asked for."""
    return int.from_bytes(blake2b(trace_id, digest_size=BITS // 8).digest(), "big")


def key_of(route: str, cls: str, tenant: str) -> int:
    """32 bits for a route, class and tenant. Two that meet by chance share a threshold, which harms neither."""
    text = "\x1f".join((route, cls, tenant)).encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big")


def threshold_of(rate: float) -> int:
    """The threshold that captures a part of all requests: `rate`, or a little less; never more."""
    if not rate > 0.0:  # a value that is not a number too
        return CAPTURE_NONE
    kept = min(CAPTURE_NONE, int(rate * CAPTURE_NONE))
    spare = kept.bit_length() - _SIGNIFICANT_BITS
    if spare > 0:
        kept = kept >> spare << spare
    return CAPTURE_NONE - kept


def rate_of(threshold: int) -> float:
    return (CAPTURE_NONE - threshold) / CAPTURE_NONE


def scaled_threshold(threshold: int, part: float) -> int:
    """The threshold that keeps a `part` (0 to 1) of what this one keeps. Never lower than it."""
    if part >= 1.0:
        return threshold
    return max(threshold, threshold_of(rate_of(threshold) * max(0.0, part)))


def margin_of(threshold: int, rv: int) -> float:
    """How far above its threshold a captured request lies, from 0 to 1, and evenly so: which of several are let go
    first, in the same order at every hop.
    """
    return (rv - threshold) / (CAPTURE_NONE - threshold)


@lru_cache(maxsize=4096)
def to_hex(threshold: int) -> str:
    """As `th` is written: 14 digits without the zeros at the end, of which one is left; `none` captures nothing."""
    return "none" if threshold >= CAPTURE_NONE else f"{threshold:014x}".rstrip("0") or "0"


@lru_cache(maxsize=4096)
def from_hex(text: str) -> int:
    return CAPTURE_NONE if text == "none" else int(text.ljust(14, "0"), 16)


def is_hop_name(text: str) -> bool:
    """Whether a hop's name can travel: an address, or letters, digits and `._-`."""
    return _NAME.match(text) is not None


@lru_cache(maxsize=4096)
def _down_end(key: int, number: TableVersion, above: tuple[str, ...], me: str) -> str:
    return f"k:{key:08x};n:{number[0]}.{number[1]};by:{','.join((*above, me)[-MAX_HOPS_SENT:])}"


class SamplingDecision(msgspec.Struct, gc=False):
    """What was decided of one request, once, at its first hop; a later hop can only raise the threshold."""

    rv: int
    threshold: int
    key: int = 0
    table_version: TableVersion = (0, 0)  # of the table that the first hop went by
    previous_hops: tuple[str, ...] = ()  # hops that it has passed, first to last
    next_hops: tuple[str, ...] = ()  # hops that have answered for it
    is_first_hop: bool = True
    trace_id: str = ""  # its id, where it is known here

    @property
    def captured(self) -> bool:
        return self.rv >= self.threshold

    @property
    def rate(self) -> float:
        return rate_of(self.threshold)

    @property
    def weight(self) -> float:
        """How many requests its record stands for; 0 where it was not drawn."""
        return CAPTURE_NONE / (CAPTURE_NONE - self.threshold) if self.captured else 0.0

    def request_field(self, me: str) -> str:
        """What goes on with the request from this hop."""
        end = _down_end(self.key, self.table_version, self.previous_hops, me)
        return f"th:{to_hex(self.threshold)};rv:{self.rv:014x};{end}"

    def answer_field(self, me: str) -> str:
        """What goes back with the answer from this hop: the threshold that held in the end, and who has it."""
        return f"th:{to_hex(self.threshold)};by:{','.join((me, *self.next_hops)[:MAX_HOPS_SENT])}"

    def merge_answer(self, threshold: int, names: tuple[str, ...]) -> None:
        """An answer has come from below: what was not captured there need not be here."""
        self.threshold = max(self.threshold, threshold)
        if names != self.next_hops:
            self.next_hops = (*self.next_hops, *(name for name in names if name not in self.next_hops))[
                :MAX_HOPS_SENT
            ]


@lru_cache(maxsize=4096)
def _names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if is_hop_name(name))[:MAX_HOPS_SENT]


def parse_request_field(text: str) -> SamplingDecision | None:
    """What came with a request; none if it can't be read."""
    found = _FIELD.match(text) if len(text) <= MAX_FIELD_CHARS else None
    if found is None:
        return None
    th, rv, key, term, number, by = found.groups()
    return SamplingDecision(
        int(rv, 16), from_hex(th), int(key, 16), (int(term), int(number)), _names(by), is_first_hop=False
    )


def parse_answer_field(text: str) -> tuple[int, tuple[str, ...]] | None:
    """What came with an answer: a threshold, and the hops that answered; none if it can't be read."""
    found = _BACK.match(text) if len(text) <= MAX_FIELD_CHARS else None
    return (from_hex(found[1]), _names(found[2])) if found else None


def overload_fraction(full: float) -> float:
    """The part that is still taken where a queue is so full (0 to 1): all up to a quarter, a 400th at the brim.

    Exponential, so that a burst of any size up to that settles at a level of its own: ten times too much at 0.54.
    """
    return math.exp(-8.0 * (full - 0.25)) if full > 0.25 else 1.0
