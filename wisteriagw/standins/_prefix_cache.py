"""Prefix cache of the engine stand-in."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

BLOCK_TOKENS = 1000
# Matches the estimate of 4 characters a token in wisteriagw.routing.
BLOCK_CHARACTERS = 4 * BLOCK_TOKENS


class PrefixCache:
    """LRU cache of a limited number of prompt blocks."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def match_and_add(self, scope: str, prompt: str) -> int:
        """Return the number of cached tokens of a prompt and cache its full blocks.

        Parameters
        ----------
        scope : str
            Model and adapter; blocks are not shared between adapters.
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
