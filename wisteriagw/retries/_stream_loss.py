"""State of a stream whose engine connection was lost."""

from __future__ import annotations

from typing import NamedTuple


class StreamLoss(NamedTuple):
    """What decides how a lost stream goes on.

    Attributes
    ----------
    engine_may_have_it : bool
        Whether the engine may still hold the generation.
    resumes_left : int
        Attempts left at the same engine; progress gives new ones.
    sent_tokens : bool
        Whether the caller has had a token that cannot be taken back.
    may_continue : bool
        Whether another engine may continue after the tokens that were sent.
    may_retry : bool
        Whether the retry rules allow another backend server.
    """

    engine_may_have_it: bool
    resumes_left: int
    sent_tokens: bool
    may_continue: bool
    may_retry: bool
