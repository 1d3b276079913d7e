"""State of a backend server as a decision sees it."""

from __future__ import annotations

from typing import NamedTuple


class ServerView(NamedTuple):
    """Load of a backend server at the time of a decision.

    Attributes
    ----------
    name : str
        Backend server.
    data_centre : str
        Where it runs.
    stage : str
        ``prefill`` or ``decode`` for an engine, otherwise empty.
    slots : int
        Requests that it serves at once.
    waiting_tokens : float
        Prompt tokens sent to it, by all VMs, whose first event has not come.
    streams : float
        Requests that all VMs have there.
    cached_tokens : int
        Leading tokens of the prompt that it is believed to keep.
    suspicion : float
        Seconds added to its estimate because of recent failures.
    """

    name: str
    data_centre: str
    stage: str
    slots: int
    waiting_tokens: float = 0.0
    streams: float = 0.0
    cached_tokens: int = 0
    suspicion: float = 0.0
