"""Closing event of an engine's stream."""

from __future__ import annotations

from typing import TypedDict


class StreamEnd(TypedDict):
    """Result and token counts that an engine reports at the end of a stream.

    Attributes
    ----------
    finish_reason : str
        ``stop``, ``length`` or ``cancelled``.
    prompt_tokens, cached_tokens, generated_tokens : int
        Token counts for usage accounting. Tokens passed in as ``generated`` count as
        generated tokens.
    ended_before : bool
        Whether the closing event was already sent to an earlier reader, which accounts
        for the request.
    """

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    ended_before: bool
