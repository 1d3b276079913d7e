"""Load report of a backend server."""

from __future__ import annotations

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load of a backend server at a past moment.

    Attributes
    ----------
    backend_server : str
        Reporting server.
    as_of : float
        Time at which the figures were read.
    queued_prefill_tokens, running_streams : int
        Prompt tokens of requests without a first token, and open streams (those of
        waiting requests included).
    """

    backend_server: str
    as_of: float
    queued_prefill_tokens: float
    running_streams: int
