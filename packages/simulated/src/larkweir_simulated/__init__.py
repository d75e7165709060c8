"""Hands: the door of the package; see `network`."""

from larkweir_simulated.network import Due, Network

__all__ = ["Due", "Network"]
