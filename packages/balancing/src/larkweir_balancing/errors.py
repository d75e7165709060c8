"""The exceptions of this package."""

from __future__ import annotations


class BalancingError(Exception):
    """The base class of the package's exceptions."""


class SettingsError(BalancingError, ValueError):
    """A setting is missing or invalid; the message names the key and the value."""


class ContractError(BalancingError, RuntimeError):
    """The caller broke the event contract, e.g. by reusing an id, going back in time or sending an unknown event."""


class WireError(BalancingError, ValueError):
    """A frame does not follow the simulator's wire format."""
