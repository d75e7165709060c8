"""Hands: the door of the package; see `copy`: edits of routes and pools that merge field by field."""
