"""Request that an entry process sends to a model engine."""

from __future__ import annotations

from typing import TypedDict


class GenerateRequest(TypedDict):
    """A prompt for an engine; it holds the customer and never the key.

    Attributes
    ----------
    request_id, attempt : str
        Identity of the request and of this attempt at it.
    customer : str
        Customer whose key came with the request.
    model, adapter : str
        What shall answer.
    prompt : str
        Text of the prompt.
    max_tokens, priority : int
        Bound on the output, and the priority among the engine's requests.
    first_index : int
        Index of the first token event. It is above 0 when the prompt ends with tokens
        that another engine generated; ``max_tokens`` counts these too.
    """

    request_id: str
    attempt: str
    customer: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    first_index: int
