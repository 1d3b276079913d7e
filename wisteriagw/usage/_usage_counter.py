"""Usage that one entry process has counted and not yet seen in the log."""

from __future__ import annotations

from wisteriagw.usage._arithmetic import add_figures, get_larger_figures
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_partial import UsagePartial

# A partial of this many requests and 240 customers stays under 100 KB.
MAX_PARTIAL_REQUESTS = 500
# Partials of a log outage: 10 minutes of one every 0.5 s. Then nothing is cut, and the
# totals grow by a row per customer and window only.
MAX_PENDING = 1_200
# About 30 MB; reached only when the log is down for long and many streams break.
MAX_COUNTED_REQUESTS = 100_000


class UsageCounter:
    """Adds up usage and cuts it into numbered partials.

    Parameters
    ----------
    vm, incarnation : str
        Identity of the process; a restarted process has another incarnation.
    """

    def __init__(self, vm: str, incarnation: str) -> None:
        self.pending: dict[int, UsagePartial] = {}
        self.dropped_requests = 0
        self._vm = vm
        self.incarnation = incarnation
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
        known = self._requests.pop(request_id, None)
        if known is None and len(self._requests) >= MAX_COUNTED_REQUESTS:
            # Without its id the request could count twice, which is worse than never.
            self.dropped_requests += 1
            return
        if known is not None:
            figures = get_larger_figures(known[2], figures)
        self._requests[request_id] = (window, customer, figures)

    def cut_partial(self) -> UsagePartial | None:
        """Return what was counted since the last cut, None if nothing was."""
        if not self._totals and not self._requests:
            return None
        if len(self.pending) >= MAX_PENDING:
            return None
        due = list(self._requests)[:MAX_PARTIAL_REQUESTS]
        entries = [[*key, *figures] for key, figures in self._totals.items()]
        requests = []
        for request_id in due:
            window, customer, figures = self._requests.pop(request_id)
            requests.append([request_id, window, customer, *figures])
        partial = UsagePartial(
            self._vm, self.incarnation, self._next_seq, entries, requests
        )
        self.pending[self._next_seq] = partial
        self._next_seq += 1
        self._totals = {}
        return partial

    @property
    def first_pending(self) -> int:
        """Number below which every partial is in the log."""
        return min(self.pending, default=self._next_seq)

    def list_pending(self) -> list[UsagePartial]:
        """Return the partials that are not known to be in the log, oldest first."""
        return [self.pending[seq] for seq in sorted(self.pending)]

    def confirm(self, seq: int) -> None:
        """Forget a partial that is in the log."""
        self.pending.pop(seq, None)
