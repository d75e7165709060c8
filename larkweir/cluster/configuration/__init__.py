"""The operators' configuration: what is valid, how a change applies, what differs between two."""
