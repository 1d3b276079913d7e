"""Usage that one entry process has counted and not yet seen in the log."""

from __future__ import annotations

from wisteriagw.usage._arithmetic import add_figures, get_larger_figures
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_partial import UsagePartial

# A partial of this many requests and 240 customers stays under 100 KB.
MAX_PARTIAL_REQUESTS = 500
# Covers a log outage of 10 minutes with a partial every 0.5 s. After that no partial is
# created, and the totals grow by a row per customer and window only.
MAX_PENDING = 1_200
# About 30 MB; reached only in a long log outage with many interrupted streams.
MAX_COUNTED_REQUESTS = 100_000


class UsageCounter:
    """Aggregates usage and creates numbered partials from it.

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
        """Count all figures of an interrupted or resumed request under its id."""
        previous = self._requests.pop(request_id, None)
        if previous is None and len(self._requests) >= MAX_COUNTED_REQUESTS:
            # Without its id it could be billed twice, which is worse than never.
            self.dropped_requests += 1
            return
        if previous is not None:
            figures = get_larger_figures(previous[2], figures)
        self._requests[request_id] = (window, customer, figures)

    def create_partial(self) -> UsagePartial | None:
        """Return the usage since the last partial; None if there is none or no room."""
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

    def mark_appended(self, seq: int) -> None:
        """Remove a partial that is in the log."""
        self.pending.pop(seq, None)
