"""The list that is held, in discovery's form, and which of its rows have changed. Pure logic."""

from __future__ import annotations

from collections.abc import Sequence

from larkweir.membership.listing import LEFT, FullList, InstanceRow


class UpstreamList:
    """The rows of the instances that have not left, and the generation that discovery calls them."""

    __slots__ = ("_rows", "changed_ids", "generation")

    def __init__(self) -> None:
        # None: there is no list, or none that a watch can go on from; the whole list has to be asked for.
        self.generation: int | None = None
        self._rows: dict[str, InstanceRow] = {}
        # Ids whose rows may have changed since somebody has emptied it; None where nobody does.
        self.changed_ids: set[str] | None = None

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._rows

    def row(self, instance_id: str) -> InstanceRow | None:
        """One instance's row, or None."""
        return self._rows.get(instance_id)

    def snapshot(self) -> FullList:
        """All of it, as a whole list in discovery's form."""
        return {"generation": self.generation or 0, "reset": True, "instances": list(self._rows.values())}

    def replace(self, rows: Sequence[InstanceRow]) -> None:
        """Hold the rows of a whole list in place of what was held."""
        before = self._rows
        self._rows = {}
        self._apply(rows)
        if self.changed_ids is not None:
            now = self._rows
            self.changed_ids.update(name for name in before if name not in now)
            self.changed_ids.update(name for name, row in now.items() if before.get(name) != row)

    def merge(self, rows: Sequence[InstanceRow]) -> None:
        """Hold changed rows beside what is held."""
        self._apply(rows)
        if self.changed_ids is not None:
            self.changed_ids.update(row["instanceId"] for row in rows)

    def _apply(self, rows: Sequence[InstanceRow]) -> None:
        """Later rows count before earlier ones; those that have left are dropped, which bounds what is held."""
        upstream_list = self._rows
        for row in rows:
            if row["lifecycle"] == LEFT:
                upstream_list.pop(row["instanceId"], None)
            else:
                upstream_list[row["instanceId"]] = row
