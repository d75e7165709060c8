"""Switches of the mechanisms by which the router fleet decides, for ablation; they are no settings of operators.

`benchmarks/fleet_ablation.py` runs copies of the source with one of them off. The defaults are what is in service.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DecisionOptions:
    """One field a mechanism. Each stands on one line, as `fleet_ablation` reads it."""

    # Controllers say which engine owns a prompt prefix; else its preference order does.
    controller_prefix_owners: bool = True
    # A router remembers which engines it sent a prefix to.
    remembered_prefixes: bool = True
    # A prefix is prefilled again where its owner would be late and an idle engine in time.
    leave_late_prefix_owners: bool = True
    # Other requests avoid engines with a large prefill backlog.
    avoid_prefill_backlog: bool = True
    # Routers report their waiting prompts to their peers.
    peer_prefill_backlog: bool = True
    # Long prompts are reported at once, not with the next pull.
    announce_long_prompts: bool = True
    # Token holders with an open connection come first.
    prefer_open_connections: bool = True
    # An engine's token is spent by requests that wait for a first event, else by any request.
    tokens_by_first_event: bool = True
    # A failure withholds the token, for longer each time.
    failure_backoff: bool = True
    # So does a request that found no free slot.
    full_backoff: bool = True
    # Upstreams that fail requests of the whole fleet are ejected.
    fleet_ejection: bool = True
    # An overdue request that may be repeated is retried elsewhere.
    retry_overdue: bool = True
    # The timeout of new connections follows how long others took.
    adaptive_connect_timeout: bool = True


OPTIONS = DecisionOptions()
