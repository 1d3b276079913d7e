"""Route in the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Route(NamedTuple):
    """Targets and handling of the requests of one host and path prefix.

    Attributes
    ----------
    name, host, path_prefix : str
        Identity, and the requests matched; the prefix begins and ends with a slash.
    streaming : bool
        Whether the answer is a stream of events.
    repeatable : bool
        Whether a request may run more than once.
    resumable : bool
        Whether a stream may be continued from its last event by another run.
    timeout : float
        Seconds within which a request must be answered.
    target_seconds : float
        Target time to the answer, or to the first event; up to it a request earns the
        full benefit.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Backend servers that one request may be sent to.
    open : bool
        Whether requests need no key.
    targets : tuple
        Pairs of service and weight.
    gap_seconds : float
        Longest pause between two events of a stream that is on time; 0 if none is
        stated.
    """

    name: str
    host: str
    path_prefix: str
    streaming: bool
    repeatable: bool
    resumable: bool
    timeout: float
    target_seconds: float
    priority: int
    max_attempts: int
    open: bool
    targets: tuple[tuple[str, float], ...]
    gap_seconds: float = 0.0
