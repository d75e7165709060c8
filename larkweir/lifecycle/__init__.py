"""Start, readiness, reload, handover, drain, stop."""
