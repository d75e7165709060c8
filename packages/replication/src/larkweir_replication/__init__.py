"""Replicates one value on a few machines, with a primary, backups, and epochs that fence old primaries."""
