"""Request that runs on a backend server."""

from __future__ import annotations

from typing import NamedTuple


class RunningRequest(NamedTuple):
    """Load and charge of a dispatched request.

    Attributes
    ----------
    backend_server, customer : str
        Server that runs it, and customer that is charged.
    queue_key : tuple
        Key of the queue that it came from.
    waiting_tokens : float
        Prefill work not known to be finished.
    prefill_tokens : float
        Uncached prompt tokens expected at dispatch.
    work : float
        Engine seconds charged.
    output_key : tuple of str and int
        Key of the mean output length.
    """

    backend_server: str
    customer: str
    queue_key: tuple[str, bool]
    waiting_tokens: float
    prefill_tokens: float
    work: float
    output_key: tuple[str, int]
