"""Plan for a request."""

from __future__ import annotations

from typing import NamedTuple


class Plan(NamedTuple):
    """Backend servers that serve a request.

    Attributes
    ----------
    server : str
        Backend server that answers.
    prefill : str
        Engine that runs the prefill; empty if the answering one does.
    fetch_from : str
        Engine from which the prefilling engine fetches the KV cache of leading parts
        that it lacks; empty if it computes them.
    seconds : float
        Estimated time to the first event.
    uncached_tokens : float
        Prompt tokens that need a prefill.
    queue_seconds : float
        Part of ``seconds`` spent waiting for requests that came before.
    """

    server: str
    prefill: str = ""
    fetch_from: str = ""
    seconds: float = 0.0
    uncached_tokens: float = 0.0
    queue_seconds: float = 0.0
