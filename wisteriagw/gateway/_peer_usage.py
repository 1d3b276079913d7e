"""Copy of the usage counts of one process."""

from __future__ import annotations


class PeerUsage:
    """Counts by window and customer; a count never falls.

    Attributes
    ----------
    vm, incarnation : str
        VM and process that counted.
    windows : dict
        Counts by window and customer.
    last_seen_at : float
        Time of the last message of the process.
    changed : bool
        Whether the counts have changed since they were last returned for writing.
    """

    def __init__(self, vm: str, incarnation: str) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.windows: dict[int, dict[str, int]] = {}
        self.last_seen_at = float("-inf")
        self.changed = False

    def add(self, window: int, customer: str, count: int) -> None:
        """Record the total of a customer in a window."""
        counts = self.windows.setdefault(window, {})
        if count > counts.get(customer, 0):
            counts[customer] = count
            self.changed = True

    def prune(self, oldest: int) -> None:
        """Drop the windows before the oldest to keep."""
        for window in list(self.windows):
            if window < oldest:
                del self.windows[window]
