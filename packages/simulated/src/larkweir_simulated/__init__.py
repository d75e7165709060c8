"""A simulated network and clock for tests; see `network`."""

from larkweir_simulated.network import Event, Network

__all__ = ["Event", "Network"]
