"""Request whose answer was lost with the connection to its engine."""

from __future__ import annotations

from typing import NamedTuple


class LostRun(NamedTuple):
    """A request that was open when its connection was lost.

    Attributes
    ----------
    request_id : str
        Id of the request.
    progress : str
        ``prefill`` for a prompt that was only prefilled; otherwise what had arrived of
        the answer: ``nothing``, ``head`` or ``events``.
    came_at : float
        Time at which it was sent to the engine, in seconds.
    parts : tuple of str
        Parts of the prompt that other requests may share, and the fingerprint.
    sound : bool
        Whether the engine ran on after it had begun the answer.
    """

    request_id: str
    progress: str
    came_at: float
    parts: tuple[str, ...] = ()
    sound: bool = False
