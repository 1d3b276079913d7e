"""Trace of the partials that make up a customer's window."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from wisteriagw.records import FiguresRecorded, UsageBatch, WindowReported
from wisteriagw.usage._arithmetic import add_figures, subtract_figures
from wisteriagw.usage._fold import apply_usage_record
from wisteriagw.usage._usage_contribution import UsageContribution
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_partial import UsagePartial

if TYPE_CHECKING:
    from wisteriagw.usage._usage_state import UsageState


class UsageTrace:
    """Folds the usage stream and records the contributions to a customer's window.

    Attributes
    ----------
    contributions : list of UsageContribution
        Contributions of partials to the window, in stream order.
    recorded, reported : bool
        Whether the window's figures are in the log, and whether their report was
        accepted.
    """

    def __init__(self, customer: str, window: int) -> None:
        self.contributions: list[UsageContribution] = []
        self.recorded = False
        self.reported = False
        self._customer = customer
        self._window = window

    def apply(self, record: Any, state: UsageState, offset: int) -> UsageState:
        """Return the state after a record, as the fold does."""
        return self._apply(record, state, offset)

    def list_rows(self) -> list[tuple[int, UsageFigures]]:
        """Return the figures of the window by the window that they belong to."""
        rows: dict[int, UsageFigures] = {}
        for contribution in self.contributions:
            previous = rows.get(contribution.belongs_to, UsageFigures())
            rows[contribution.belongs_to] = add_figures(previous, contribution.figures)
        return sorted(rows.items())

    @singledispatchmethod
    def _apply(self, record: Any, state: UsageState, offset: int) -> UsageState:
        return apply_usage_record(record, state, offset)

    @_apply.register(UsageBatch)
    def _(self, record: UsageBatch, state: UsageState, offset: int) -> UsageState:
        if offset <= state.revision:
            return state
        start = state.revision
        for fields in record.partials:
            before = self._list_totals(state)
            # Each partial is folded on its own to compute its contribution.
            state = state._replace(revision=start)
            state = apply_usage_record(UsageBatch([fields]), state, offset)
            self._record_contributions(before, state, fields, offset)
        return state._replace(revision=offset)

    @_apply.register(FiguresRecorded)
    def _(self, record: FiguresRecorded, state: UsageState, offset: int) -> UsageState:
        state = apply_usage_record(record, state, offset)
        self.recorded = self.recorded or self._window in state.recorded
        return state

    @_apply.register(WindowReported)
    def _(self, record: WindowReported, state: UsageState, offset: int) -> UsageState:
        if (record.window, record.customer) == (self._window, self._customer):
            self.reported = self.reported or self._window in state.recorded
        return apply_usage_record(record, state, offset)

    def _list_totals(self, state: UsageState) -> dict[int, UsageFigures]:
        return {
            key.belongs_to: figures
            for key, figures in state.totals.items()
            if (key.window, key.customer) == (self._window, self._customer)
        }

    def _record_contributions(
        self,
        before: dict[int, UsageFigures],
        state: UsageState,
        fields: Any,
        offset: int,
    ) -> None:
        for belongs_to, figures in self._list_totals(state).items():
            added = subtract_figures(figures, before.get(belongs_to, UsageFigures()))
            if not any(added):
                continue
            partial = UsagePartial(*fields)
            requests = [
                row[0]
                for row in partial.requests
                if (row[1], row[2]) == (belongs_to, self._customer)
            ]
            identity = (partial.vm, partial.incarnation, partial.seq)
            contribution = UsageContribution(
                offset, *identity, belongs_to, added, requests
            )
            self.contributions.append(contribution)
