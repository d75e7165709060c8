"""Numbers for the names that discovery uses: instances, zones and machine types. Pure logic."""

from __future__ import annotations


class Names:
    """An instance keeps its number for good; zones and machine types have the numbers of the settings."""

    MAX_INSTANCES = 100_000  # past that the oldest are forgotten, and their numbers never used again

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._ids: dict[str, int] = {}  # in the order in which they were named last
        self._next = 1
        self.reverse: dict[int, str] | None = None  # ids by number, where somebody needs them
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {name: n for n, name in enumerate(kinds)}

    def server(self, instance_id: str) -> int:
        """The instance's number; a new one where it has none."""
        number = self._ids.pop(instance_id, None)
        if number is None:
            number = self._next
            self._next += 1
            if len(self._ids) >= self.MAX_INSTANCES:
                oldest = self._ids.pop(next(iter(self._ids)))
                if self.reverse is not None:
                    self.reverse.pop(oldest, None)
            if self.reverse is not None:
                self.reverse[number] = instance_id
        self._ids[instance_id] = number  # at the end: named last
        return number

    def zone(self, name: str) -> int:
        """The zone's number; one that the settings do not name gets the number after the last, 1 at the least."""
        return self._zones.get(name, max(1, len(self._zones)))

    def kind(self, name: str) -> int:
        """The machine type's number; one that the settings do not name gets the number after the last."""
        return self._kinds.get(name, len(self._kinds))
