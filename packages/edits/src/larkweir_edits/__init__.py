"""Edits of routes and pools, made at many places, that merge field by field."""
