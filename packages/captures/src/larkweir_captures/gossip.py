"""Dissemination of threshold tables by gossip. Pure logic."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nsmallest
from zlib import crc32

from larkweir_captures.messages import ThresholdTable

GOSSIP_FANOUT = 3  # nodes to which each node forwards a new table; the coordinator sends it to twice as many


def gossip_targets(
    names: Sequence[str], table: ThresholdTable, me: str, count: int = GOSSIP_FANOUT
) -> list[str]:
    """The peers that `me` forwards a table to: a different choice for each table and node, by rendezvous hashing, so
    that a table reaches all nodes in a few steps. A node that is missed gets it in reply to its next report.
    """
    salt = f"{table.term}.{table.number}.{me}".encode()
    order = nsmallest(count, ((crc32(name.encode(), crc32(salt)), name) for name in names if name != me))
    return [name for _, name in order]
