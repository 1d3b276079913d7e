"""A decision that is kept to be explained."""

from __future__ import annotations

from typing import Any, NamedTuple


class ExplainedDecision(NamedTuple):
    """A decision with the request that it was made for.

    Attributes
    ----------
    at : float
        Wall clock in seconds.
    request_id, customer : str
        The request; the id is empty for a plain service call.
    inputs : NamedTuple
        What was asked for.
    decision : NamedTuple
        What was chosen, and why each alternative lost.
    """

    at: float
    request_id: str
    customer: str
    inputs: Any
    decision: Any
