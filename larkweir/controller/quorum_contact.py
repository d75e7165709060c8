"""Tracks whether this controller is connected to a majority of the voting controllers."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_replication.replica import Replica

from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.known_controllers import KnownControllers


class QuorumContact:
    """Compares this controller's links with the member list that its replica has accepted."""

    def __init__(
        self,
        known: KnownControllers,
        replica: Replica,
        links: ControllerLinks,
        on_regained: Callable[[], None],
    ) -> None:
        """`on_regained`: called by `update` if there is contact with a majority that was missing at the last call."""
        self._known = known
        self._replica = replica
        self._links = links
        self._on_regained = on_regained
        self.was_connected = True  # at the last call of `update`

    def is_quorum(self, others: set[str], includes_own: bool = True) -> bool:
        """Returns whether the other given controllers form a majority, with this one if `includes_own`."""
        accepted = self._replica.accepted
        nodes = others | {self._known.own_node} if includes_own else others
        return accepted is not None and accepted.has_quorum(nodes)

    def is_connected(self) -> bool:
        """Returns whether this controller is connected to a majority."""
        return self.is_quorum(self._links.connected_nodes())

    def update(self) -> None:
        """Refreshes `was_connected` and reports regained contact. Must be called several times a second."""
        was_connected, self.was_connected = self.was_connected, self.is_connected()
        if self.was_connected and not was_connected:
            self._on_regained()
