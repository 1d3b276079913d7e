"""Prefix cache of the engine stand-in."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

BLOCK_TOKENS = 1000
# Matches the estimate of 4 characters a token in wisteriagw.routing.
BLOCK_CHARACTERS = 4 * BLOCK_TOKENS


class PrefixCache:
    """Blocks of prompts in limited memory; the ones not used for longest go first."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def use(self, scope: str, prompt: str) -> int:
        """Return the cached tokens of a prompt, and cache its whole blocks.

        Parameters
        ----------
        scope : str
            Model and adapter; the same text under another adapter shares nothing.
        prompt : str
            Text of the prompt.
        """
        digest = hashlib.sha256(scope.encode("utf-8"))
        cached, missed = 0, False
        for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
            digest.update(prompt[end - BLOCK_CHARACTERS : end].encode("utf-8"))
            block = digest.digest()
            missed = missed or block not in self._blocks
            if not missed:
                cached += BLOCK_TOKENS
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached
