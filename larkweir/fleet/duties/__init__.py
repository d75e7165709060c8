"""Work that one balancer does for all, as rules without I/O. Not imported where `[owners]` is off."""
