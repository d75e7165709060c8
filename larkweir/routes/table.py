"""The compiled routes. The time to find a route depends on the length of the path, not on the number of routes.

The order of routes in the file does not matter. The first of these criteria in which two routes differ decides:

1. The host: an exact name, then `*.` with the longest suffix, then any host.
2. The path, segment by segment: a literal, then a `{name}`, then the end of a prefix. An exact path precedes a prefix
   of the same length.
3. The number of header conditions, more first; then whether there is a condition on methods, on classes, on tenants.
4. The name of the route.

If the path of a route matches but its conditions do not, the next route is tried. There are no regular expressions: a
`{name}` matches exactly one segment, and a search visits each node of the tree at most once.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from larkweir.routes.paths import MAX_SEGMENTS, Target


@dataclass(frozen=True, slots=True)
class Match:
    """The conditions of a route."""

    host: bytes = b""  # lower case; "*.x" matches any name that ends in ".x"; empty: any
    path: bytes = b""  # "/a/{b}/c"; empty: any
    prefix: bool = False  # also matches all paths below `path`
    methods: frozenset[bytes] = frozenset()
    headers: tuple[tuple[bytes, bytes | None], ...] = ()  # lower-case name, required value (None: any)
    classes: frozenset[int] = frozenset()
    tenants: frozenset[int] = frozenset()


class Facts(NamedTuple):
    """The properties of a request that routes are matched by."""

    host: bytes
    target: Target
    method: bytes
    headers: Mapping[bytes, Sequence[bytes]]  # by lower-case name
    cls: int
    tenant: int


class Rank(NamedTuple):
    """Precedence among the routes of one leaf: the lower rank is tried first."""

    headers: int
    method: bool
    classes: bool
    tenants: bool
    name: str


class Entry(NamedTuple):
    """A route in a leaf. Entries are sorted by rank."""

    rank: Rank
    name: str
    match: Match

    def fits(self, facts: Facts) -> bool:
        match = self.match
        if match.methods and facts.method not in match.methods:
            return False
        for name, value in match.headers:
            found = facts.headers.get(name, ())
            # A repeated header matches no condition, since two readers could take different values for the valid one.
            if len(found) != 1 or (value is not None and found[0] != value):
                return False
        if match.classes and facts.cls not in match.classes:
            return False
        return not match.tenants or facts.tenant in match.tenants


def rank(name: str, match: Match) -> Rank:
    return Rank(-len(match.headers), not match.methods, not match.classes, not match.tenants, name)


class Leaf:
    """The routes of one node, by rank. If there are many, they are indexed by the value of one header."""

    INDEX_THRESHOLD = 8  # routes; a leaf with more of them gets an index

    __slots__ = ("_by_value", "_entries", "_header", "_other_entries")

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._header: bytes | None = None
        self._by_value: dict[bytes, list[Entry]] = {}
        self._other_entries: list[Entry] = []

    def add(self, entry: Entry) -> None:
        self._entries.append(entry)

    def finish(self) -> None:
        self._entries.sort()
        if len(self._entries) <= self.INDEX_THRESHOLD:
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
                self._by_value.setdefault(values[0], []).append(entry)
            else:
                self._other_entries.append(entry)

    def find(self, facts: Facts) -> Entry | None:
        if self._header is None:
            return next((entry for entry in self._entries if entry.fits(facts)), None)
        values = facts.headers.get(self._header, ())
        named = self._by_value.get(values[0], ()) if len(values) == 1 else ()
        found = [
            next((entry for entry in some if entry.fits(facts)), None)
            for some in (named, self._other_entries)
        ]
        return min((entry for entry in found if entry is not None), default=None)

    @property
    def entries(self) -> list[Entry]:
        return self._entries


class Node:
    """A node of the path tree: one segment."""

    __slots__ = ("exact", "literals", "subtree", "wildcard")

    def __init__(self) -> None:
        self.literals: dict[bytes, Node] = {}
        self.wildcard: Node | None = None  # the child for a `{name}`
        self.exact: Leaf | None = None  # routes of exactly this path
        self.subtree: Leaf | None = None  # routes of this path and all paths below it

    def leaf(self, segments: Sequence[bytes], prefix: bool) -> Leaf:
        node = self
        for segment in segments:
            if segment.startswith(b"{"):
                node.wildcard = node.wildcard or Node()
                node = node.wildcard
            else:
                node = node.literals.setdefault(segment, Node())
        if prefix:
            node.subtree = node.subtree or Leaf()
            return node.subtree
        node.exact = node.exact or Leaf()
        return node.exact

    def leaves(self) -> Iterator[Leaf]:
        pending: list[Node] = [self]
        while pending:
            node = pending.pop()
            yield from (leaf for leaf in (node.exact, node.subtree) if leaf is not None)
            pending += node.literals.values()
            if node.wildcard is not None:
                pending.append(node.wildcard)

    def walk(self, segments: Sequence[bytes]) -> Iterator[Leaf]:
        """The leaves that match a path, in order of precedence: depth first, a literal before a `{name}`, the longest
        prefix first. Each node is visited at most once.
        """
        pending: list[tuple[Node, int, bool]] = [(self, 0, False)]
        while pending:
            node, at, children_done = pending.pop()
            if children_done:  # the prefix routes come after everything below the node
                if node.subtree is not None:
                    yield node.subtree
                continue
            pending.append((node, at, True))
            if at == len(segments):
                if node.exact is not None:
                    yield node.exact
                continue
            if node.wildcard is not None and segments[at]:  # a `{name}` does not match an empty segment
                pending.append((node.wildcard, at + 1, False))
            literal = node.literals.get(segments[at])
            if literal is not None:
                pending.append((literal, at + 1, False))


def segments_of(path: bytes) -> list[bytes]:
    """The segments of a route's normalized path. A prefix must be given without its final slash."""
    return path[1:].split(b"/") if len(path) > 1 else []


@dataclass(slots=True)
class Table:
    """All compiled routes. `find` returns the matching one; `explain` also the routes that were tried before it."""

    _hosts: dict[bytes, Node] = field(default_factory=dict)
    _suffixes: dict[bytes, Node] = field(default_factory=dict)  # by the suffix of `*.x`, with its dot
    _any_host: Node = field(default_factory=Node)

    @classmethod
    def of(cls, routes: Iterable[tuple[str, Match]]) -> Table:
        table = cls()
        for name, match in routes:
            if match.host.startswith(b"*."):
                root = table._suffixes.setdefault(match.host[1:], Node())
            elif match.host:
                root = table._hosts.setdefault(match.host, Node())
            else:
                root = table._any_host
            prefix = match.prefix or not match.path
            path = match.path.rstrip(b"/") if prefix else match.path
            root.leaf(segments_of(path), prefix).add(Entry(rank(name, match), name, match))
        for root in (*table._hosts.values(), *table._suffixes.values(), table._any_host):
            for leaf in root.leaves():
                leaf.finish()
        return table

    def _roots(self, host: bytes) -> Iterator[Node]:
        root = self._hosts.get(host)
        if root is not None:
            yield root
        if self._suffixes and host:
            at = host.find(b".")
            for _ in range(MAX_SEGMENTS):
                if at < 0:
                    break
                root = self._suffixes.get(host[at:])
                if root is not None:
                    yield root
                at = host.find(b".", at + 1)
        yield self._any_host

    def find(self, facts: Facts) -> str | None:
        for root in self._roots(facts.host):
            for leaf in root.walk(facts.target.segments):
                entry = leaf.find(facts)
                if entry is not None:
                    return entry.name
        return None

    def candidates(self, host: bytes, target: Target) -> Iterator[Entry]:
        """All routes whose host and path match, in order of precedence."""
        for root in self._roots(host):
            for leaf in root.walk(target.segments):
                yield from leaf.entries

    def explain(self, facts: Facts) -> tuple[str | None, list[str]]:
        """The name of the matching route, and the routes that were tried before it, each with why it does not match."""
        rejected: list[str] = []
        for entry in self.candidates(facts.host, facts.target):
            if entry.fits(facts):
                return entry.name, rejected
            match = entry.match
            if match.methods and facts.method not in match.methods:
                rejected.append(f"{entry.name}: another method")
            elif match.classes and facts.cls not in match.classes:
                rejected.append(f"{entry.name}: another class")
            elif match.tenants and facts.tenant not in match.tenants:
                rejected.append(f"{entry.name}: another tenant")
            else:
                rejected.append(f"{entry.name}: a header is missing, has another value, or is repeated")
        return None, rejected
