"""Closing event of an engine's stream."""

from __future__ import annotations

from typing import TypedDict


class StreamEnd(TypedDict):
    """What an engine reports when a stream has ended.

    Attributes
    ----------
    finish_reason : str
        ``stop``, ``length`` or ``cancelled``.
    prompt_tokens, cached_tokens, generated_tokens : int
        Work done for the request, for the usage figures. Tokens that were handed over
        as ``generated`` count among the generated ones.
    ended_before : bool
        Whether an earlier reader got the closing event; that one counts the request.
    """

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    ended_before: bool
