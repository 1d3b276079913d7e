"""Attempt at an offer on one fake backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.measure._answer import Answer


class Attempt:
    """Work of a fake backend server for one request.

    ``imported`` tells that the KV cache came with it, so that no prefill is needed.
    """

    __slots__ = (
        "answer",
        "owner",
        "handle",
        "output_left",
        "prompt_tokens",
        "prefill_left",
        "cached_blocks",
        "imported",
        "first_step",
        "server",
        "refused_by",
    )

    def __init__(self, answer: Answer, owner: Any, handle: str) -> None:
        self.answer = answer
        self.owner = owner
        self.handle = handle
        self.output_left = answer.offer.output_tokens - answer.tokens
        self.prompt_tokens = answer.offer.prompt_tokens + answer.tokens
        self.prefill_left = -1.0
        self.cached_blocks = 0
        self.imported = False
        self.first_step = 0
        self.server: Any = None
        self.refused_by = ""
