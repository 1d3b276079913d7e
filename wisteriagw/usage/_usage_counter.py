"""Usage that one entry process has counted and not yet seen in the log."""

from __future__ import annotations

from wisteriagw.usage._arithmetic import add_figures
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_partial import UsagePartial


class UsageCounter:
    """Adds up usage and cuts it into numbered partials.

    Parameters
    ----------
    vm, incarnation : str
        Identity of the process; a restarted process has another incarnation.
    """

    def __init__(self, vm: str, incarnation: str) -> None:
        self.pending: dict[int, UsagePartial] = {}
        self._vm = vm
        self._incarnation = incarnation
        self._next_seq = 0
        self._totals: dict[tuple[int, str], UsageFigures] = {}
        self._requests: dict[str, tuple[int, str, UsageFigures]] = {}

    def count(self, window: int, customer: str, figures: UsageFigures) -> None:
        """Count a request that began and ended on this VM, or a service call."""
        key = (window, customer)
        self._totals[key] = add_figures(self._totals.get(key, UsageFigures()), figures)

    def count_by_id(
        self, request_id: str, window: int, customer: str, figures: UsageFigures
    ) -> None:
        """Count a request that was interrupted or resumed, whole, under its id."""
        self._requests[request_id] = (window, customer, figures)

    def cut_partial(self) -> UsagePartial | None:
        """Return what was counted since the last cut, None if nothing was."""
        if not self._totals and not self._requests:
            return None
        entries = [[*key, *figures] for key, figures in self._totals.items()]
        requests = [
            [request_id, window, customer, *figures]
            for request_id, (window, customer, figures) in self._requests.items()
        ]
        partial = UsagePartial(
            self._vm, self._incarnation, self._next_seq, entries, requests
        )
        self.pending[self._next_seq] = partial
        self._next_seq += 1
        self._totals = {}
        self._requests = {}
        return partial

    def list_pending(self) -> list[UsagePartial]:
        """Return the partials that are not known to be in the log, oldest first."""
        return [self.pending[seq] for seq in sorted(self.pending)]

    def confirm(self, seq: int) -> None:
        """Forget a partial that is in the log."""
        self.pending.pop(seq, None)
