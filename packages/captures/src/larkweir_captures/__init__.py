"""Captures that agree: one threshold on one hash, volumes that are never passed, and records kept after the fact."""
