"""Hashes of prompt blocks."""

from __future__ import annotations

import xxhash

from wisteriagw.routing._choice import PREFIX_BLOCK_TOKENS
from wisteriagw.routing._tokens import CHARACTERS_PER_TOKEN

BLOCK_CHARACTERS = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN


def hash_blocks(customer: str, adapter: str, prompt: str) -> tuple[int, ...]:
    """Return the cumulative hash of each complete block of a prompt.

    The customer is part of the hash: a cache hit must not reveal to one customer what
    another has sent.
    """
    digest = xxhash.xxh3_64(f"{customer}\0{adapter}\0".encode())
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode("utf-8"))
        hashes.append(digest.intdigest())
    return tuple(hashes)
