"""Named tables of numbers that are summed over all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    Values = tuple[float, ...]
    RowSource = Callable[[float], Iterable[tuple[str, Values]]]

# Default for the age up to which a peer's rows count; the rate of the peers' updates
# sets the value in use.
VALID_SECONDS = 1.0


class SumTable:
    """Rows of this VM and of its peers, by table and key.

    Rows are states and not changes, so an update that is lost, late or duplicated has
    no lasting effect.

    Attributes
    ----------
    valid_seconds : float
        Age up to which a peer's rows count.
    """

    def __init__(self) -> None:
        self.valid_seconds = VALID_SECONDS
        self._sources: dict[str, RowSource] = {}
        self._peers: dict[str, tuple[float, tuple]] = {}

    def register(self, table: str, list_rows: RowSource) -> None:
        """Send the rows of a source with every update.

        Parameters
        ----------
        table : str
            Name that all VMs use for the table.
        list_rows : callable
            ``list_rows(now)`` returns pairs of key and numbers.
        """
        self._sources[table] = list_rows

    def list_own(self, now: float) -> tuple:
        """Return the rows of this VM: table, key and numbers."""
        return tuple(
            (table, key, *values)
            for table, list_rows in self._sources.items()
            for key, values in list_rows(now)
        )

    def apply_peer_rows(self, peer: str, rows: Iterable[tuple], now: float) -> None:
        """Replace the known rows of a peer, or of a group of peers."""
        self._peers[peer] = (now, tuple(rows))

    def sum_rows(
        self, own: tuple, now: float, peers: Collection[str] | None = None
    ) -> tuple:
        """Return own rows plus those of all peers, or of the given ones."""
        groups = [own]
        for peer, (received_at, rows) in self._peers.items():
            if now - received_at >= self.valid_seconds:
                continue
            if peers is not None and peer not in peers:
                continue
            groups.append(rows)
        return add_rows(groups)

    def get_others(self, table: str, now: float) -> dict[str, Values]:
        """Return the sums over the other VMs by key."""
        return {
            key: tuple(values)
            for name, key, *values in self.sum_rows((), now)
            if name == table
        }

    def get_age(self, now: float) -> float:
        """Return the seconds since the newest rows of a peer, infinite if none came."""
        newest = max((at for at, _ in self._peers.values()), default=float("-inf"))
        return now - newest


def add_rows(groups: Iterable[Iterable[tuple]], sign: float = 1.0) -> tuple:
    """Return the sum of groups of rows; those after the first count with a sign."""
    sums: dict[tuple[str, str], list[float]] = {}
    for index, rows in enumerate(groups):
        factor = sign if index else 1.0
        for table, key, *values in rows:
            known = sums.setdefault((table, key), [0.0] * len(values))
            for position, value in enumerate(values[: len(known)]):
                known[position] += factor * value
    return tuple((*key, *values) for key, values in sums.items())


def subtract_rows(total: Iterable[tuple], part: Iterable[tuple]) -> tuple:
    """Return rows less those of a part that they contain."""
    kept = list(total)
    names = {(table, key) for table, key, *_ in kept}
    contained = [row for row in part if (row[0], row[1]) in names]
    return add_rows((kept, contained), sign=-1.0)
