"""Whether a request gets another attempt."""

from __future__ import annotations

from typing import NamedTuple


class RetryDecision(NamedTuple):
    """Decision after an attempt, with the reason.

    Attributes
    ----------
    retry : bool
        Whether to try another backend server.
    code : str
        Error code for the caller if there is no further attempt.
    reason : str
        Reason for the decision.
    """

    retry: bool
    code: str
    reason: str
