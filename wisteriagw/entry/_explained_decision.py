"""A decision with its inputs, for operators."""

from __future__ import annotations

from typing import Any, NamedTuple


class ExplainedDecision(NamedTuple):
    """A decision with the request that it was made for.

    Attributes
    ----------
    at : float
        Wall-clock time in seconds.
    request_id, customer : str
        The request; the id is empty for a plain service call.
    inputs : NamedTuple
        Inputs of the decision.
    decision : NamedTuple
        The choice, and why each alternative was rejected.
    """

    at: float
    request_id: str
    customer: str
    inputs: Any
    decision: Any
