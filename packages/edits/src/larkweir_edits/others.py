"""What the other copies have applied, and who is waited for."""

from __future__ import annotations

from collections.abc import Mapping, Sequence


class Others:
    """`agreed` holds, of each peer, a version vector that it said it had when it was also one's own: so every edit of
    its that is not here was made later, and has seen it.
    """

    def __init__(self, peers: Sequence[str], away_ms: float, now_ms: float) -> None:
        self._away_ms = away_ms
        self._last_contact_ms = dict.fromkeys(peers, now_ms)
        self.agreed: dict[str, Mapping[str, int]] = {}

    def record_contact(self, name: str, now_ms: float) -> bool:
        """Whether it is one of them."""
        if name not in self._last_contact_ms:
            return False
        self._last_contact_ms[name] = now_ms
        return True

    def away(self, now_ms: float) -> list[str]:
        """Who is not waited for any longer."""
        return [
            name for name, contact_ms in self._last_contact_ms.items() if now_ms - contact_ms >= self._away_ms
        ]

    def stable(self, mine: Mapping[str, int], now_ms: float) -> dict[str, int]:
        """What every copy has applied that is waited for. One that was not heard of for too long is not, as long as
        more than half of all are: so no two halves can go on without each other.
        """
        away = set(self.away(now_ms))
        here = [name for name in self._last_contact_ms if name not in away]
        if 2 * (len(here) + 1) <= len(self._last_contact_ms) + 1 or any(
            name not in self.agreed for name in here
        ):
            return {}
        stable = dict(mine)
        for vector in {id(vector): vector for vector in (self.agreed[name] for name in here)}.values():
            stable = {writer: min(count, vector.get(writer, 0)) for writer, count in stable.items()}
        return stable
