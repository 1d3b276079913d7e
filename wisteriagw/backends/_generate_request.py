"""Request that an entry process sends to a model engine."""

from __future__ import annotations

from typing import TypedDict


class GenerateRequest(TypedDict):
    """A generation request; it names the customer and never contains the key.

    Attributes
    ----------
    request_id, attempt : str
        Ids of the request and of this attempt.
    customer : str
        Customer whose key authenticated the request.
    model, adapter : str
        Model and adapter to use.
    prompt : str
        Text of the prompt.
    max_tokens, priority : int
        Maximum number of output tokens, and priority among the engine's requests.
    generated : str
        Text of the tokens that another engine has already generated for this request.
        It follows the prompt in the context and does not count as prompt tokens.
    first_index : int
        Number of those tokens, and thus the index of the first token event;
        ``max_tokens`` includes them.
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
