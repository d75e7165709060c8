"""Routes, compiled, so that finding one costs by the length of a path and not by the number of routes.

Which route wins is no matter of the file's order. From the left, the first difference decides:

1. the host: the name itself, then `*.` and the longest end of it, then any;
2. the path, segment by segment: a word, then a `{name}`, then the end of a prefix; a whole path goes before a prefix
as long; 3. more conditions on headers, then a method, then classes, then tenants;
4. the name of the route.

A route whose path fits and whose conditions do not leaves the way to the next. There are no regular expressions: a walk
visits a node of the tree once at the most, and a `{name}` takes one segment.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from larkweir.routes.paths import MOST_SEGMENTS, Target


@dataclass(frozen=True, slots=True)
class Match:
    """What a request must be."""

    host: bytes = b""  # lower case; "*.x" is any name that ends in ".x"; empty: any
    path: bytes = b""  # "/a/{b}/c"; empty: any
    prefix: bool = False  # the path, or what lies below it
    methods: frozenset[bytes] = frozenset()
    headers: tuple[tuple[bytes, bytes | None], ...] = ()  # lower-case name, and the value it has; None: any
    classes: frozenset[int] = frozenset()
    tenants: frozenset[int] = frozenset()


class Facts(NamedTuple):
    """What a request is."""

    host: bytes
    target: Target
    method: bytes
    headers: Mapping[bytes, Sequence[bytes]]  # by lower-case name
    cls: int
    tenant: int


class Rank(NamedTuple):
    """Among those of one place in the tree; less goes before."""

    headers: int
    method: bool
    classes: bool
    tenants: bool
    name: str


class Entry(NamedTuple):
    rank: Rank
    name: str
    match: Match

    def fits(self, facts: Facts) -> bool:
        match = self.match
        if match.methods and facts.method not in match.methods:
            return False
        for name, value in match.headers:
            found = facts.headers.get(name, ())
            # One that comes twice has no one value: what two readers could read differently fits no condition.
            if len(found) != 1 or (value is not None and found[0] != value):
                return False
        if match.classes and facts.cls not in match.classes:
            return False
        return not match.tenants or facts.tenant in match.tenants


def rank(name: str, match: Match) -> Rank:
    return Rank(-len(match.headers), not match.methods, not match.classes, not match.tenants, name)


class Leaf:
    """The routes of one place, in their order; many that ask for a value of one header are found by it."""

    MANY = 8

    __slots__ = ("_by", "_entries", "_header", "_rest")

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._header: bytes | None = None
        self._by: dict[bytes, list[Entry]] = {}
        self._rest: list[Entry] = []

    def add(self, entry: Entry) -> None:
        self._entries.append(entry)

    def close(self) -> None:
        self._entries.sort()
        if len(self._entries) <= self.MANY:
            return
        names: dict[bytes, int] = {}
        for entry in self._entries:
            for name, value in entry.match.headers:
                names[name] = names.get(name, 0) + (value is not None)
        if not names:
            return
        self._header = max(sorted(names), key=lambda name: names[name])
        for entry in self._entries:
            values = [value for name, value in entry.match.headers if name == self._header]
            if values and values[0] is not None:
                self._by.setdefault(values[0], []).append(entry)
            else:
                self._rest.append(entry)

    def find(self, facts: Facts) -> Entry | None:
        if self._header is None:
            return next((entry for entry in self._entries if entry.fits(facts)), None)
        values = facts.headers.get(self._header, ())
        named = self._by.get(values[0], ()) if len(values) == 1 else ()
        found = [next((entry for entry in some if entry.fits(facts)), None) for some in (named, self._rest)]
        return min((entry for entry in found if entry is not None), default=None)

    @property
    def entries(self) -> list[Entry]:
        return self._entries


class Node:
    __slots__ = ("any", "below", "here", "words")

    def __init__(self) -> None:
        self.words: dict[bytes, Node] = {}
        self.any: Node | None = None  # a `{name}`
        self.here: Leaf | None = None  # routes of just this path
        self.below: Leaf | None = None  # routes of this path and all below it

    def leaf(self, segments: Sequence[bytes], prefix: bool) -> Leaf:
        node = self
        for segment in segments:
            if segment.startswith(b"{"):
                node.any = node.any or Node()
                node = node.any
            else:
                node = node.words.setdefault(segment, Node())
        if prefix:
            node.below = node.below or Leaf()
            return node.below
        node.here = node.here or Leaf()
        return node.here

    def leaves(self) -> Iterator[Leaf]:
        waiting: list[Node] = [self]
        while waiting:
            node = waiting.pop()
            yield from (leaf for leaf in (node.here, node.below) if leaf is not None)
            waiting += node.words.values()
            if node.any is not None:
                waiting.append(node.any)

    def walk(self, segments: Sequence[bytes]) -> Iterator[Leaf]:
        """The leaves that a path comes to, in their order: depth first, a word before a `{name}`, the deepest prefix
        first. A node is visited once at the most.
        """
        waiting: list[tuple[Node, int, bool]] = [(self, 0, False)]
        while waiting:
            node, at, left = waiting.pop()
            if left:  # all below it has been tried
                if node.below is not None:
                    yield node.below
                continue
            waiting.append((node, at, True))
            if at == len(segments):
                if node.here is not None:
                    yield node.here
                continue
            if node.any is not None and segments[at]:  # an empty segment is no name
                waiting.append((node.any, at + 1, False))
            word = node.words.get(segments[at])
            if word is not None:
                waiting.append((word, at + 1, False))


def segments_of(path: bytes) -> list[bytes]:
    """Of a route's path, in its normal form; a slash at the end of a prefix says nothing."""
    return path[1:].split(b"/") if len(path) > 1 else []


@dataclass(slots=True)
class Table:
    """All routes, compiled. `find` says which one; `why` also what came before it and did not fit."""

    _hosts: dict[bytes, Node] = field(default_factory=dict)
    _ends: dict[bytes, Node] = field(default_factory=dict)  # of `*.x`, without the star
    _any: Node = field(default_factory=Node)

    @classmethod
    def of(cls, routes: Iterable[tuple[str, Match]]) -> Table:
        table = cls()
        for name, match in routes:
            if match.host.startswith(b"*."):
                root = table._ends.setdefault(match.host[1:], Node())
            elif match.host:
                root = table._hosts.setdefault(match.host, Node())
            else:
                root = table._any
            prefix = match.prefix or not match.path
            path = match.path.rstrip(b"/") if prefix else match.path
            root.leaf(segments_of(path), prefix).add(Entry(rank(name, match), name, match))
        for root in (*table._hosts.values(), *table._ends.values(), table._any):
            for leaf in root.leaves():
                leaf.close()
        return table

    def _roots(self, host: bytes) -> Iterator[Node]:
        root = self._hosts.get(host)
        if root is not None:
            yield root
        if self._ends and host:
            at = host.find(b".")
            for _ in range(MOST_SEGMENTS):
                if at < 0:
                    break
                root = self._ends.get(host[at:])
                if root is not None:
                    yield root
                at = host.find(b".", at + 1)
        yield self._any

    def find(self, facts: Facts) -> str | None:
        for root in self._roots(facts.host):
            for leaf in root.walk(facts.target.segments):
                entry = leaf.find(facts)
                if entry is not None:
                    return entry.name
        return None

    def candidates(self, host: bytes, target: Target) -> Iterator[Entry]:
        """All whose host and path fit, in their order."""
        for root in self._roots(host):
            for leaf in root.walk(target.segments):
                yield from leaf.entries

    def why(self, facts: Facts) -> tuple[str | None, list[str]]:
        """The route, and those before it that did not fit, each with what was missing."""
        passed: list[str] = []
        for entry in self.candidates(facts.host, facts.target):
            if entry.fits(facts):
                return entry.name, passed
            match = entry.match
            if match.methods and facts.method not in match.methods:
                passed.append(f"{entry.name}: another method")
            elif match.classes and facts.cls not in match.classes:
                passed.append(f"{entry.name}: another class")
            elif match.tenants and facts.tenant not in match.tenants:
                passed.append(f"{entry.name}: another tenant")
            else:
                passed.append(f"{entry.name}: a header is missing, another, or there twice")
        return None, passed
