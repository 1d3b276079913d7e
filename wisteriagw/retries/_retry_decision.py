"""Whether a request gets another attempt."""

from __future__ import annotations

from typing import NamedTuple


class RetryDecision(NamedTuple):
    """The answer to a failed attempt, with the reason.

    Attributes
    ----------
    retry : bool
        Whether another backend server shall be tried.
    code : str
        Error code for the caller if there is no other attempt.
    reason : str
        What decided.
    """

    retry: bool
    code: str
    reason: str
