"""Switches of the mechanisms by which the router fleet decides, for ablation; no settings of operators.

`benchmarks/fleet_ablation.py` plays copies of the text with one of them off. The defaults are what runs.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DecisionOptions:
    """One field a mechanism. Each stands on one line, as `fleet_ablation` reads it."""

    # Controllers say which engine keeps a head; else its own order does.
    placed_heads: bool = True
    # A router remembers which engines it sent a head to.
    remembered_heads: bool = True
    # A head is read anew where its keeper would be late and an idle engine in time.
    late_keepers_left: bool = True
    # Other requests pass over engines where much waits to be read.
    busy_avoided: bool = True
    # Prompts that wait are told to peers.
    peers_waiting: bool = True
    # Long ones are told at once, not with the next pull.
    prompts_announced: bool = True
    # Token holders with an open connection come first.
    linked_first: bool = True
    # An engine's token is spent by calls that wait for a first event, else by any call.
    waiting_tokens: bool = True
    # A failure keeps the token back, for longer each time.
    failure_pauses: bool = True
    # So does a call that was turned away.
    full_pauses: bool = True
    # Upstreams that fail calls of the whole fleet are left out.
    ejection: bool = True
    # A silent call that may be repeated goes elsewhere.
    overdue_elsewhere: bool = True
    # New connections are given up by how long others took.
    connect_patience: bool = True


OPTIONS = DecisionOptions()
