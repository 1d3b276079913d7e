"""Load report of a backend server."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load of a backend server at a moment that has passed when it arrives.

    Attributes
    ----------
    backend_server : str
        Where.
    as_of : float
        Time at which the figures were read.
    queued_prefill_tokens, running_streams : int
        Work that had not reached its first token, and streams not ended (those of
        waiting requests included).
    """

    backend_server: str
    as_of: float
    queued_prefill_tokens: float
    running_streams: int
