"""Fold of usage records."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.records import (
    FiguresRecorded,
    UsageBatch,
    WindowReported,
    WindowSealed,
)
from wisteriagw.usage._arithmetic import (
    add_figures,
    get_larger_figures,
    subtract_figures,
)
from wisteriagw.usage._counted_partials import CountedPartials, add_partial
from wisteriagw.usage._counted_request import CountedRequest
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_key import UsageKey
from wisteriagw.usage._usage_partial import UsagePartial
from wisteriagw.usage._usage_state import UsageState

NO_WINDOW = -1
# Interrupted requests are resumed within 30 s; an hour also covers a long log outage.
REQUEST_RETENTION_WINDOWS = 60


def build_empty_usage() -> UsageState:
    """Return the state before the first record."""
    return UsageState(-1, NO_WINDOW, {}, {}, {}, {}, {})


def apply_usage_record(record: Any, state: UsageState, offset: int) -> UsageState:
    """Return the state after a record; offsets that were applied change nothing."""
    if offset <= state.revision:
        return state
    return _apply(record, state)._replace(revision=offset)


def build_rows(state: UsageState, window: int) -> list[list[Any]]:
    """Return the rows of a closed window, in a fixed order."""
    rows = [
        [key.customer, key.belongs_to, *figures]
        for key, figures in state.totals.items()
        if key.window == window
    ]
    return sorted(rows)


@singledispatch
def _apply(record: Any, state: UsageState) -> UsageState:
    return state


@_apply.register
def _(record: UsageBatch, state: UsageState) -> UsageState:
    for fields in record.partials:
        try:
            partial = UsagePartial(*fields)
        except TypeError:
            continue
        _count_partial(state, partial)
    return state


@_apply.register
def _(record: WindowSealed, state: UsageState) -> UsageState:
    # A seal that a paused process appended late names an older window and is ignored.
    if record.window <= state.sealed_window:
        return state
    _drop_old_requests(state, record.window)
    return state._replace(sealed_window=record.window)


@_apply.register
def _(record: FiguresRecorded, state: UsageState) -> UsageState:
    if record.window > state.sealed_window or record.window in state.recorded:
        return state
    rows = build_rows(state, record.window)
    # The seal makes the figures final; a different record comes from a faulty process.
    if [list(row) for row in record.rows] != rows:
        return state
    state.recorded[record.window] = rows
    return state


@_apply.register
def _(record: WindowReported, state: UsageState) -> UsageState:
    rows = state.recorded.get(record.window)
    if rows is None:
        return state
    reported = state.reported.setdefault(record.window, set())
    reported.add(record.customer)
    if reported >= {row[0] for row in rows}:
        _drop_window(state, record.window)
    return state


def _count_partial(state: UsageState, partial: UsagePartial) -> None:
    process = (partial.vm, partial.incarnation)
    counted = add_partial(state.partials.get(process, CountedPartials()), partial.seq)
    if counted is None:
        return
    state.partials[process] = counted
    for window, customer, *figures in partial.entries:
        _count(state, window, customer, UsageFigures(*figures))
    for request_id, window, customer, *figures in partial.requests:
        _count_request(state, request_id, window, customer, UsageFigures(*figures))


def _count(
    state: UsageState, belongs_to: int, customer: str, figures: UsageFigures
) -> None:
    window = max(belongs_to, state.sealed_window + 1)
    key = UsageKey(window, customer, belongs_to)
    previous = state.totals.get(key)
    state.totals[key] = figures if previous is None else add_figures(previous, figures)


def _count_request(
    state: UsageState,
    request_id: str,
    belongs_to: int,
    customer: str,
    figures: UsageFigures,
) -> None:
    previous = state.requests.get(
        request_id, CountedRequest(UsageFigures(), belongs_to)
    )
    larger = get_larger_figures(previous.figures, figures)
    window = max(previous.window, belongs_to)
    state.requests[request_id] = CountedRequest(larger, window)
    if larger != previous.figures:
        added = subtract_figures(larger, previous.figures)
        _count(state, belongs_to, customer, added)


def _drop_old_requests(state: UsageState, window: int) -> None:
    for request_id, counted in list(state.requests.items()):
        if counted.window + REQUEST_RETENTION_WINDOWS < window:
            del state.requests[request_id]


def _drop_window(state: UsageState, window: int) -> None:
    for key in [key for key in state.totals if key.window == window]:
        del state.totals[key]
    del state.recorded[window]
    del state.reported[window]
