"""Load-balancing decisions for services that call services, without any I/O of its own."""

from larkweir_balancing.errors import ContractError, SettingsError
from larkweir_balancing.policy import Balancer
from larkweir_balancing.settings import Settings

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]
