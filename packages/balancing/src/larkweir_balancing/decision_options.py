"""Switches of the mechanisms by which the router fleet decides, for ablation; no settings of operators.

`benchmarks/fleet_ablation.py` plays copies of the text with one of them off. The defaults are what runs.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DecisionOptions:
    """One field a mechanism. Each stands on one line, as `fleet_ablation` reads it."""

    # Controllers say which engine keeps a head; else its own order does.
    controller_prefix_owners: bool = True
    # A router remembers which engines it sent a head to.
    remembered_prefixes: bool = True
    # A head is read anew where its keeper would be late and an idle engine in time.
    leave_late_prefix_owners: bool = True
    # Other requests pass over engines where much waits to be read.
    avoid_prefill_backlog: bool = True
    # Prompts that wait are told to peers.
    peer_prefill_backlog: bool = True
    # Long ones are told at once, not with the next pull.
    announce_long_prompts: bool = True
    # Token holders with an open connection come first.
    prefer_open_connections: bool = True
    # An engine's token is spent by calls that wait for a first event, else by any call.
    tokens_by_first_event: bool = True
    # A failure keeps the token back, for longer each time.
    failure_backoff: bool = True
    # So does a call that was turned away.
    full_backoff: bool = True
    # Upstreams that fail calls of the whole fleet are left out.
    fleet_ejection: bool = True
    # A silent call that may be repeated goes elsewhere.
    retry_overdue: bool = True
    # New connections are given up by how long others took.
    adaptive_connect_timeout: bool = True


OPTIONS = DecisionOptions()
