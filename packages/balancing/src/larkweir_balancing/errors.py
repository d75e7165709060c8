"""The exceptions of this package."""

from __future__ import annotations


class BalancingError(Exception):
    """The root of the package's exceptions."""


class SettingsError(BalancingError, ValueError):
    """A setting is missing or makes no sense; the message names the key and the value."""


class ContractError(BalancingError, RuntimeError):
    """The caller broke the event contract: an id used twice, time going backwards, an unknown event."""


class WireError(BalancingError, ValueError):
    """A frame that does not follow the simulator's wire format."""
