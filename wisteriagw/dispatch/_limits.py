"""Limits of the dispatcher."""

from __future__ import annotations

from typing import NamedTuple


class Limits(NamedTuple):
    """Bounds on waiting.

    Attributes
    ----------
    longest_engine_wait : float
        Estimated queue of a backend server, in seconds, above which it gets nothing
        more. It is short, so that the order is decided by the fair queue.
    fair : bool
        Whether customers share by work; otherwise requests go in order of arrival.
    refuse_late : bool
        Whether a request that can't meet its deadline is refused.
    """

    longest_engine_wait: float = 0.3
    fair: bool = True
    refuse_late: bool = True
