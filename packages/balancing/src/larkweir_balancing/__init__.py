"""larkweir_balancing: load-balancing decisions for services that call services, without any input or output of its
own.
"""

from larkweir_balancing.interface import ContractError, Settings, SettingsError
from larkweir_balancing.policy import Balancer

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]
