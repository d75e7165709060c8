"""A process from its start to its end: readiness, reload, pause, handover, upgrade, drain, stop."""
