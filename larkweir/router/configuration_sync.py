"""What a router asks of the controllers after a configuration update that it could not apply."""

from __future__ import annotations

from larkweir.cluster import log
from larkweir.cluster.messages import ConfigUpdate
from larkweir.router.configuration import ConfigurationStore, UnusableUpdateError


class ConfigurationSync:
    """Applies updates, and asks for the complete configuration after a patch that can't be applied.

    A complete configuration that can't be applied is not asked for again: the one in force stays until the next one.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        """`store` owns the configuration in force."""
        self._store = store
        self._failed_patch_sequence = -1  # of the newest configuration to which a patch could not be applied
        self.unusable_sequence = -1  # of the newest complete configuration that could not be applied
        self._reported_unusable: dict[
            str, int
        ] = {}  # by controller node: `unusable_sequence` at the last pull

    @property
    def known_sequence(self) -> int:
        """The sequence to which controllers may send a patch; -1 to ask for the complete configuration."""
        needs_complete = self._failed_patch_sequence > max(self._store.sequence, self.unusable_sequence)
        return -1 if needs_complete else self._store.sequence

    def apply(self, update: ConfigUpdate, sender: str) -> bool:
        """Apply an update and return whether it is in force now. A failure is logged once for each configuration."""
        is_complete = update.base_sequence < 0
        failed_sequence = self.unusable_sequence if is_complete else self._failed_patch_sequence
        if update.sequence <= failed_sequence:
            return False
        try:
            return self._store.apply(update)
        except UnusableUpdateError as error:
            self._record_failure(update)
            log.event(
                "configuration_unusable",
                sequence=update.sequence,
                base=update.base_sequence,
                sender=sender,
                error=str(error),
            )
            return False

    def _record_failure(self, update: ConfigUpdate) -> None:
        if update.base_sequence >= 0:
            self._failed_patch_sequence = update.sequence
        else:
            self.unusable_sequence = max(self.unusable_sequence, update.sequence)

    def record_pull(self, node: str) -> None:
        """Note that a pull with the present sequences is being sent to a controller."""
        self._reported_unusable[node] = self.unusable_sequence

    def is_unwanted(self, node: str, update: ConfigUpdate) -> bool:
        """Whether a controller has sent a configuration of which its last pull says that it can't be applied.

        Controllers of earlier releases do, each time they are asked for news.
        """
        return self._store.sequence < update.sequence <= self._reported_unusable.get(node, -1)
