"""The status of a replica."""

from __future__ import annotations

from enum import Enum


class ReplicaStatus(Enum):
    """What a replica is doing. The values are shown to operators (`/status`, event `replica_status`) and stay."""

    RECOVERING = "recovering"  # the disk holds no usable state: no vote yet
    FOLLOWER = "follower"
    PRE_CANDIDATE = "canvassing"  # asks whether a candidacy would find a majority
    CANDIDATE = "candidate"
    PRIMARY = "primary"
