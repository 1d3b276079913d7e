"""Terms of a retry budget."""

from __future__ import annotations

from typing import NamedTuple


class RetryTerms(NamedTuple):
    """How a budget grows.

    Attributes
    ----------
    per_request, per_second : float
        Retries that a request and a second add.
    max_saved : float
        Retries that are kept at most. The default is ten seconds of the constant rate:
        a burst after the loss of one backend server passes, and an overload that lasts
        does not grow by more than the rates.
    """

    per_request: float = 0.1
    per_second: float = 3.0
    max_saved: float = 30.0
