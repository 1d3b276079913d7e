"""State of a stream whose engine connection was lost."""

from __future__ import annotations

from typing import NamedTuple


class StreamLoss(NamedTuple):
    """Input of the decision about a lost stream.

    Attributes
    ----------
    engine_may_hold_generation : bool
        Whether the engine may still hold the generation.
    resumes_left : int
        Remaining attempts at the same engine; progress resets them.
    sent_tokens : bool
        Whether the caller has received a token, which cannot be revoked.
    may_continue : bool
        Whether another engine may continue after the tokens that were sent.
    may_retry : bool
        Whether the retry rules allow another backend server.
    """

    engine_may_hold_generation: bool
    resumes_left: int
    sent_tokens: bool
    may_continue: bool
    may_retry: bool
