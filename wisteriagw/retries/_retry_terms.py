"""Terms of a retry budget."""

from __future__ import annotations

from typing import NamedTuple


class RetryTerms(NamedTuple):
    """Rates at which a budget grows, and its limit.

    Attributes
    ----------
    per_request, per_second : float
        Retries added by each request and each second.
    max_saved : float
        Limit of the budget. The default is ten seconds of the constant rate: it allows
        a burst after the loss of one backend server, and a lasting overload does not
        grow by more than the rates.
    """

    per_request: float = 0.1
    per_second: float = 3.0
    max_saved: float = 30.0
