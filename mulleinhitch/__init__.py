"""mulleinhitch: load-balancing decisions for services that call services, without any input or output of its
own.
"""

from mulleinhitch.interface import ContractError, Settings, SettingsError
from mulleinhitch.policy import Balancer

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]
