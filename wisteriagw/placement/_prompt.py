"""Prompt of a request, as far as placement needs it."""

from __future__ import annotations

from typing import NamedTuple


class Prompt(NamedTuple):
    """Sizes and parts of a prompt.

    Attributes
    ----------
    model : str
        Requested model.
    tokens, output_tokens : int
        Tokens of the prompt, and the bound on generated tokens.
    parts : tuple
        Pairs of part and token count in order. All but the last part may be shared
        between requests.
    """

    model: str
    tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()

    def list_shared_parts(self) -> tuple[str, ...]:
        """Return the parts that other requests may share."""
        return tuple(part for part, _ in self.parts[:-1])
