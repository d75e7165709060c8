"""Peers, service managers and fault injectors. Run by tests, rigs and benchmarks, never by larkweir."""
