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
    generated : str
        Text of the tokens that another engine generated for this request. It follows
        the prompt in the context, and is not counted among the prompt tokens.
    first_index : int
        Number of those tokens, and so the index of the first token event;
        ``max_tokens`` counts them too.
    """

    request_id: str
    attempt: str
    customer: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    generated: str
    first_index: int
