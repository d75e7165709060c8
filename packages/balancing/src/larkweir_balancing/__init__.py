"""Load-balancing decisions for service-to-service requests. The package does no I/O."""

from larkweir_balancing.errors import ContractError, SettingsError
from larkweir_balancing.policy import Balancer
from larkweir_balancing.settings import Settings

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]
