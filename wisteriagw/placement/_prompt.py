"""Prompt of a request, as far as placement needs it."""

from __future__ import annotations

from typing import NamedTuple


class Prompt(NamedTuple):
    """Sizes and parts of a prompt.

    Attributes
    ----------
    model : str
        Model that is asked.
    tokens, output_tokens : int
        Tokens of the prompt, and the most that are generated.
    parts : tuple
        Pairs of part and tokens in order. Requests share all but the last part.
    """

    model: str
    tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()
