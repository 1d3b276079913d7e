"""Usage rows for the next update."""

from __future__ import annotations

from typing import NamedTuple

# Value of a window that is none.
NO_WINDOW = -1


class DueUsage(NamedTuple):
    """Rows of usage, and the window that a relay shall store from them.

    Attributes
    ----------
    rows : tuple
        Rows of window, customer and count.
    closed_window : int
        Window that has ended, whose counts in the rows are complete and not stored; -1
        if none.
    """

    rows: tuple = ()
    closed_window: int = NO_WINDOW

    def get_closed_counts(self) -> dict[str, int]:
        """Return the counts of the window to store."""
        return get_window_counts(self.rows, self.closed_window)


def get_window_counts(rows: tuple, window: int) -> dict[str, int]:
    """Return the counts of a window among rows of window, customer and count."""
    return {customer: count for known, customer, count in rows if known == window}
