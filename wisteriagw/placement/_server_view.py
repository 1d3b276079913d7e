"""State of a backend server as input of a placement decision."""

from __future__ import annotations

from typing import NamedTuple


class ServerView(NamedTuple):
    """Load of a backend server at the time of a decision.

    Attributes
    ----------
    name : str
        Backend server.
    data_centre : str
        Data centre in which it runs.
    stage : str
        ``prefill`` or ``decode`` for an engine, otherwise empty.
    slots : int
        Requests that it serves at once.
    waiting_tokens : float
        Prompt tokens, sent by all VMs, of requests that wait for their first event.
    streams : float
        Open requests of all VMs.
    cached_tokens : int
        Leading tokens of the prompt that it is estimated to have cached.
    failure_penalty : float
        Seconds added to its estimate because of recent failures.
    """

    name: str
    data_centre: str
    stage: str
    slots: int
    waiting_tokens: float = 0.0
    streams: float = 0.0
    cached_tokens: int = 0
    failure_penalty: float = 0.0
