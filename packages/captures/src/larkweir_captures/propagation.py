"""A request's sampling decision, and the header fields that carry it to the next hops and back. Pure logic."""

from __future__ import annotations

import re
from functools import lru_cache

import msgspec

from larkweir_captures.sampling import CAPTURE_NONE, TableVersion, rate_of

MAX_HOPS_SENT = 8  # names of hops in a field
MAX_FIELD_CHARS = 500

_REQUEST_FIELD = re.compile(
    r"th:([0-9a-f]{0,14}|none);rv:([0-9a-f]{14});k:([0-9a-f]{8});n:(\d{1,15})\.(\d{1,15});by:([\w.:\[\]%,-]{0,400})\Z",
    re.ASCII,
)
_ANSWER_FIELD = re.compile(r"th:([0-9a-f]{0,14}|none);by:([\w.:\[\]%,-]{0,400})\Z", re.ASCII)
_HOP_NAME = re.compile(r"[\w.:\[\]%-]{1,48}\Z", re.ASCII)


class SamplingDecision(msgspec.Struct, gc=False):
    """Made once for a request, at its first hop; a later hop can only raise the threshold."""

    rv: int  # the hash of the trace's id
    threshold: int
    key: int = 0
    table_version: TableVersion = (0, 0)  # of the table that the first hop went by
    previous_hops: tuple[str, ...] = ()  # that the request has passed, first to last
    next_hops: tuple[str, ...] = ()  # that have answered for it
    is_first_hop: bool = True
    trace_id: str = ""  # where it is known

    @property
    def captured(self) -> bool:
        """Whether the request is sampled."""
        return self.rv >= self.threshold

    @property
    def rate(self) -> float:
        """The sampling rate."""
        return rate_of(self.threshold)

    @property
    def weight(self) -> float:
        """How many requests its record stands for; 0 if it is not sampled."""
        return CAPTURE_NONE / (CAPTURE_NONE - self.threshold) if self.captured else 0.0

    def request_field(self, me: str) -> str:
        """The field of the request that hop `me` forwards."""
        end = _request_field_end(self.key, self.table_version, self.previous_hops, me)
        return f"th:{to_hex(self.threshold)};rv:{self.rv:014x};{end}"

    def answer_field(self, me: str) -> str:
        """The field of the answer that hop `me` returns: the final threshold, and the hops that have a record."""
        return f"th:{to_hex(self.threshold)};by:{','.join((me, *self.next_hops)[:MAX_HOPS_SENT])}"

    def merge_answer(self, threshold: int, names: tuple[str, ...]) -> None:
        """Take in the field of a next hop's answer: what was not captured there need not be captured here."""
        self.threshold = max(self.threshold, threshold)
        if names != self.next_hops:
            added = (name for name in names if name not in self.next_hops)
            self.next_hops = (*self.next_hops, *added)[:MAX_HOPS_SENT]


@lru_cache(maxsize=4096)
def to_hex(threshold: int) -> str:
    """As `th` is written: 14 digits without trailing zeros, but at least one; `none` captures nothing."""
    return "none" if threshold >= CAPTURE_NONE else f"{threshold:014x}".rstrip("0") or "0"


@lru_cache(maxsize=4096)
def from_hex(text: str) -> int:
    """The threshold that `to_hex` wrote."""
    return CAPTURE_NONE if text == "none" else int(text.ljust(14, "0"), 16)


def is_hop_name(text: str) -> bool:
    """Whether a hop's name can be sent: an address, or letters, digits and `._-`, up to 48 characters."""
    return _HOP_NAME.match(text) is not None


def parse_request_field(text: str) -> SamplingDecision | None:
    """The decision in a request's field; None if it is malformed."""
    found = _REQUEST_FIELD.match(text) if len(text) <= MAX_FIELD_CHARS else None
    if found is None:
        return None
    th, rv, key, term, number, by = found.groups()
    return SamplingDecision(
        int(rv, 16), from_hex(th), int(key, 16), (int(term), int(number)), _hop_names(by), is_first_hop=False
    )


def parse_answer_field(text: str) -> tuple[int, tuple[str, ...]] | None:
    """The threshold in an answer's field, and the hops that answered; None if it is malformed."""
    found = _ANSWER_FIELD.match(text) if len(text) <= MAX_FIELD_CHARS else None
    return (from_hex(found[1]), _hop_names(found[2])) if found else None


@lru_cache(maxsize=4096)
def _request_field_end(key: int, version: TableVersion, previous_hops: tuple[str, ...], me: str) -> str:
    return f"k:{key:08x};n:{version[0]}.{version[1]};by:{','.join((*previous_hops, me)[-MAX_HOPS_SENT:])}"


@lru_cache(maxsize=4096)
def _hop_names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if is_hop_name(name))[:MAX_HOPS_SENT]
