"""Edits of routes and pools that merge field by field; see `replica`."""
