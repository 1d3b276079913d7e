"""Usage folded from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.usage._counted_partials import CountedPartials
    from wisteriagw.usage._counted_request import CountedRequest
    from wisteriagw.usage._usage_figures import UsageFigures
    from wisteriagw.usage._usage_key import UsageKey


class UsageState(NamedTuple):
    """Usage up to one offset of its stream.

    The tables belong to one fold, which changes them in place.

    Attributes
    ----------
    revision : int
        Offset of the last record, -1 before the first.
    sealed_window : int
        Last window that is closed, -1 if none is.
    totals : dict of UsageKey to UsageFigures
        Usage of open windows, and of closed ones that are not reported yet.
    requests : dict of str to CountedRequest
        Requests counted by their id.
    partials : dict of tuple of str to CountedPartials
        Partials counted, by VM and incarnation.
    recorded : dict of int to list
        Rows of the windows whose figures are in the log.
    reported : dict of int to set of str
        Customers whose report of a window was accepted.
    """

    revision: int
    sealed_window: int
    totals: dict[UsageKey, UsageFigures]
    requests: dict[str, CountedRequest]
    partials: dict[tuple[str, str], CountedPartials]
    recorded: dict[int, list]
    reported: dict[int, set[str]]
