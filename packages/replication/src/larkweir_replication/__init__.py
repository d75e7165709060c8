"""One value that a few machines replicate: a primary, backups, and epochs that fence old primaries."""
