"""The nodes that this controller knows as possible controllers."""

from __future__ import annotations

from larkweir_replication.replica import Replica

from larkweir.cluster.settings import Settings
from larkweir.controller.controller_links import ControllerLinks


class KnownControllers:
    """Members of the replicated state, seeds from the settings, and nodes that have sent a controller's `Hello`."""

    def __init__(self, settings: Settings, replica: Replica) -> None:
        """Uses `settings` until `update_settings` replaces them."""
        self._settings = settings
        self._replica = replica

    @property
    def own_node(self) -> str:
        """The node of this controller."""
        return self._settings.ip

    def update_settings(self, settings: Settings) -> None:
        """Adopts changed settings and adds their seeds to the known nodes."""
        self._settings = settings
        self._replica.known_nodes.update(settings.seed_nodes)

    def add(self, node: str) -> None:
        """Adds the node of a controller that has sent its `Hello`."""
        self._replica.known_nodes.add(node)

    def nodes(self) -> list[str]:
        """Returns all known controllers including this one, sorted."""
        accepted = self._replica.accepted
        members = accepted.members if accepted is not None else ()
        return sorted({*members, *self._replica.known_nodes, self.own_node})

    def others(self) -> list[str]:
        """Returns all known controllers except this one, sorted."""
        return [node for node in self.nodes() if node != self.own_node]

    def forget_unreachable(self, links: ControllerLinks) -> None:
        """Drops nodes that are unreachable and are neither members nor seeds."""
        accepted = self._replica.accepted
        if accepted is None:
            return
        referenced = {*accepted.members, *accepted.previous_members, *self._settings.seed_nodes}
        self._replica.known_nodes.difference_update(links.drop_unreachable(referenced))
