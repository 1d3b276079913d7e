"""Request that a fake caller makes."""

from __future__ import annotations

from typing import NamedTuple


class Offer(NamedTuple):
    """A request with what it will turn out to need.

    Attributes
    ----------
    number : int
        Identity.
    at : float
        Time of arrival at the entry VM.
    customer, serves : str
        Customer, and the model or service.
    entry : int
        Entry VM that the caller is connected to.
    prompt_tokens, output_tokens, max_tokens : int
        Size; the policy sees the bound and not the true output.
    blocks : tuple of int
        Hashes of the whole prompt blocks.
    service_seconds : float
        Time of a plain service call.
    repeatable : bool
        Whether it may run twice.
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
