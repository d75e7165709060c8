"""The nodes that may be controllers, as far as this one knows."""

from __future__ import annotations

from larkweir_replication.replica import Replica

from larkweir.cluster.settings import Settings
from larkweir.controller.controller_links import ControllerLinks


class KnownControllers:
    """Members by the replicated state, seeds of the settings, and nodes that introduced themselves."""

    def __init__(self, settings: Settings, replica: Replica) -> None:
        """`settings` may be replaced later (`update_settings`)."""
        self._settings = settings
        self._replica = replica

    @property
    def own_node(self) -> str:
        """This controller."""
        return self._settings.ip

    def update_settings(self, settings: Settings) -> None:
        """The settings file has changed: its seeds are known from now on."""
        self._settings = settings
        self._replica.known_nodes.update(settings.seed_nodes)

    def add(self, node: str) -> None:
        """A controller has introduced itself."""
        self._replica.known_nodes.add(node)

    def nodes(self) -> list[str]:
        """All of them, this one included, in order."""
        accepted = self._replica.accepted
        members = accepted.members if accepted is not None else ()
        return sorted({*members, *self._replica.known_nodes, self.own_node})

    def others(self) -> list[str]:
        """All but this one, in order."""
        return [node for node in self.nodes() if node != self.own_node]

    def forget_unreachable(self, links: ControllerLinks) -> None:
        """Forgets nodes that are neither members nor seeds and that can't be reached."""
        accepted = self._replica.accepted
        if accepted is None:
            return
        referenced = {*accepted.members, *accepted.previous_members, *self._settings.seed_nodes}
        self._replica.known_nodes.difference_update(links.drop_unreachable(referenced))
