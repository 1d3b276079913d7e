"""Named tables of numbers that are summed over all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    Values = tuple[float, ...]
    RowSource = Callable[[float], Iterable[tuple[str, Values]]]

# Default for the age up to which a peer's rows count; the rate of the peers' updates
# sets the value in use.
VALID_SECONDS = 1.0
# Greater numbers are taken for errors, and sums of them may not be finite. Quotas, the
# largest numbers of any table, are below 1e12 tokens.
MAX_VALUE = 1e15
# Key of the sum over all other VMs, which a VM that is no relay receives from one.
ALL_VMS_KEY = "all VMs"


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
        self._newest_at = float("-inf")

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

    def apply_peer_rows(
        self, peer: str, rows: Iterable[tuple], now: float, own: tuple = ()
    ) -> None:
        """Replace the known rows of a peer, or of a group of peers.

        Parameters
        ----------
        own : tuple
            Rows of this VM that the rows of the group contain.
        """
        sound = tuple(tuple(row) for row in rows if is_sound(row))
        self._peers[peer] = (now, subtract_rows(sound, own) if own else sound)
        self._newest_at = now

    def sum_rows(
        self, own: tuple, now: float, peers: Collection[str] | None = None
    ) -> tuple:
        """Return own rows plus those of all peers, or of the given ones."""
        valid = self._list_valid(now)
        if peers is None:
            return add_rows([own, *select_disjoint(valid)])
        return add_rows([own, *(rows for peer, rows in valid if peer in peers)])

    def get_others(self, table: str, now: float) -> dict[str, Values]:
        """Return the sums over the other VMs by key."""
        groups = [
            [row for row in rows if row[0] == table]
            for rows in select_disjoint(self._list_valid(now))
        ]
        return {key: tuple(values) for _, key, *values in add_rows(groups)}

    def get_age(self, now: float) -> float:
        """Return the seconds since the newest rows of a peer, infinite if none came."""
        return now - self._newest_at

    def _list_valid(self, now: float) -> list[tuple[str, tuple]]:
        """Return the rows by peer and remove those that have lapsed."""
        for peer, (received_at, _) in list(self._peers.items()):
            if now - received_at >= self.valid_seconds:
                del self._peers[peer]
        return [(peer, rows) for peer, (_, rows) in self._peers.items()]


def select_disjoint(valid: list[tuple[str, tuple]]) -> list[tuple]:
    """Return the rows of groups that have no VM in common.

    After a change between relay and other VM both the sum over all VMs and the rows of
    single ones are valid for some intervals. The sum is complete, and single rows may
    not have arrived yet.
    """
    totals = [rows for peer, rows in valid if peer == ALL_VMS_KEY]
    return totals or [rows for _, rows in valid]


def is_sound(row: Any) -> bool:
    """Return whether a peer's row consists of two names and finite numbers."""
    try:
        table, key, *values = row
        if type(table) is not str or type(key) is not str:
            return False
        for value in values:
            if not -MAX_VALUE <= value <= MAX_VALUE:
                return False
    except (TypeError, ValueError):
        return False
    return True


def add_rows(groups: Iterable[Iterable[tuple]], sign: int = 1) -> tuple:
    """Return the sum of groups of rows; those after the first count with a sign.

    Sums of whole numbers stay whole, which take a few bytes in a message instead of
    nine.
    """
    sums: dict[tuple[str, str], list[float]] = {}
    for index, rows in enumerate(groups):
        factor = sign if index else 1
        for row in rows:
            known = sums.get(row[:2])
            if known is None:
                sums[row[:2]] = [factor * value for value in row[2:]]
                continue
            for position, value in enumerate(row[2 : len(known) + 2]):
                known[position] += factor * value
    return tuple((*key, *values) for key, values in sums.items())


def subtract_rows(total: Iterable[tuple], part: Iterable[tuple]) -> tuple:
    """Return rows less those of a part that they contain."""
    kept = list(total)
    names = {(table, key) for table, key, *_ in kept}
    contained = [row for row in part if (row[0], row[1]) in names]
    return add_rows((kept, contained), sign=-1)
