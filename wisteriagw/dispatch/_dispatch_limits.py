"""DispatchLimits of the dispatcher."""

from __future__ import annotations

from typing import NamedTuple


class DispatchLimits(NamedTuple):
    """Bounds on waiting, and the order of requests.

    Attributes
    ----------
    max_engine_wait : float
        Estimated queue of a backend server, in seconds, above which it gets no further
        requests. It is short, so that the fair queue decides the order.
    fair : bool
        Whether customers share by work; otherwise requests go in order of arrival.
    refuse_late : bool
        Whether a request that can't meet its deadline is refused.
    """

    max_engine_wait: float = 0.3
    fair: bool = True
    refuse_late: bool = True
