"""Request of a simulated caller."""

from __future__ import annotations

from typing import NamedTuple


class OfferedRequest(NamedTuple):
    """A request and the work that it will need.

    Attributes
    ----------
    number : int
        Sequence number; identifies the request.
    at : float
        Time of arrival at the entry VM.
    customer, serves : str
        Customer, and the model or service.
    entry : int
        Entry VM that the caller is connected to.
    prompt_tokens, output_tokens, max_tokens : int
        Sizes; the policy is given ``max_tokens``, not the actual output.
    blocks : tuple of int
        Hashes of the complete blocks of the prompt.
    service_seconds : float
        Duration of a plain service call.
    repeatable : bool
        Whether it may run more than once.
    """

    number: int
    at: float
    customer: str
    serves: str
    entry: int
    prompt_tokens: int = 0
    output_tokens: int = 1
    max_tokens: int = 0
    blocks: tuple[int, ...] = ()
    service_seconds: float = 0.0
    repeatable: bool = True
