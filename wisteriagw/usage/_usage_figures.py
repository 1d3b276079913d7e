"""Figures of usage."""

from __future__ import annotations

from typing import NamedTuple


class UsageFigures(NamedTuple):
    """Work done for a customer.

    Attributes
    ----------
    prompt_tokens : int
        Prompt tokens, cached ones included.
    cached_tokens : int
        Prompt tokens that were found in the KV cache.
    generated_tokens : int
        Tokens generated.
    service_calls : int
        Calls of plain services.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    service_calls: int = 0
