"""Own message that a relay may answer."""

from __future__ import annotations

from typing import NamedTuple


class SentMessage(NamedTuple):
    """What has to be known of a message when it is answered.

    Attributes
    ----------
    at : float
        Time of its sending.
    work : tuple
        Its rows of backend server, waiting prompt tokens and streams.
    """

    at: float
    work: tuple
