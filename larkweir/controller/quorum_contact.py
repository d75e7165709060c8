"""Whether this controller is in contact with a majority of the controllers that vote."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_replication.replica import Replica

from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.known_controllers import KnownControllers


class QuorumContact:
    """Judges by the member list that this replica has accepted, and by its own links."""

    def __init__(
        self,
        known: KnownControllers,
        replica: Replica,
        links: ControllerLinks,
        on_regained: Callable[[], None],
    ) -> None:
        """`on_regained` is called by `update` when contact was lost at the call before and is there again."""
        self._known = known
        self._replica = replica
        self._links = links
        self._on_regained = on_regained
        self.was_connected = True  # at the last `update`

    def is_quorum(self, others: set[str]) -> bool:
        """Whether this controller and these other ones are a majority."""
        accepted = self._replica.accepted
        return accepted is not None and accepted.has_quorum(others | {self._known.own_node})

    def is_connected(self) -> bool:
        """Whether this controller has links to a majority."""
        return self.is_quorum(self._links.connected_nodes())

    def update(self) -> None:
        """To be called several times a second."""
        was_connected, self.was_connected = self.was_connected, self.is_connected()
        if self.was_connected and not was_connected:
            self._on_regained()
