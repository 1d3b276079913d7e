"""Plan for a request."""

from __future__ import annotations

from typing import NamedTuple


class Plan(NamedTuple):
    """Backend servers that a request goes to.

    Attributes
    ----------
    server : str
        Backend server that answers.
    prefill : str
        Engine that reads the prompt before; empty if the answering one does.
    fetch_from : str
        Engine from which the reading engine fetches the leading parts of the prompt
        that it lacks; empty if it reads them.
    seconds : float
        Estimated time to the first event.
    uncached_tokens : float
        Prompt tokens that have to be read.
    """

    server: str
    prefill: str = ""
    fetch_from: str = ""
    seconds: float = 0.0
    uncached_tokens: float = 0.0
