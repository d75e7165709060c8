"""The status of a replica."""

from __future__ import annotations

from enum import Enum


class ReplicaStatus(Enum):
    """What a replica is doing. Operators see the values in `/status` and event `replica_status`: don't change them."""

    RECOVERING = "recovering"  # the disk holds no usable state, so the replica has no vote yet
    FOLLOWER = "follower"
    PRE_CANDIDATE = "canvassing"  # asks whether a majority would vote for it
    CANDIDATE = "candidate"
    PRIMARY = "primary"
