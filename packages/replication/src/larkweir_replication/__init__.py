"""One replicated value: a primary, backups, and epochs that fence old primaries."""
