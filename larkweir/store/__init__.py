"""State that survives a crash: a log and snapshots. Off without its table."""
