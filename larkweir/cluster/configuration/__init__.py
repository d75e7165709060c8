"""The operators' configuration: validation, changes and patches."""
