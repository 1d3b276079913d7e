"""Request that runs on a backend server."""

from __future__ import annotations

from typing import NamedTuple


class Running(NamedTuple):
    """What was accounted for a dispatched request.

    Attributes
    ----------
    backend_server, customer : str
        Where, and for whom.
    queue_key : tuple
        Queue that it came from.
    waiting_tokens : float
        Prefill work not known to be done.
    prefill_tokens : float
        Uncached prompt tokens expected at dispatch.
    work : float
        Engine seconds charged.
    output_key : tuple of str and int
        What the length of the output is learnt by.
    """

    backend_server: str
    customer: str
    queue_key: tuple[str, bool]
    waiting_tokens: float
    prefill_tokens: float
    work: float
    output_key: tuple[str, int]
