"""Route edits that merge, in service: `part` is plugged in where `[edits]` is on."""
