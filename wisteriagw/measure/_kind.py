"""Kind of prompt."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    """Distribution of one kind of prompt; lengths are lognormal and heavy-tailed."""

    median_prompt: float
    prompt_sigma: float
    longest_prompt: int
    shared_part: float
    shared_blocks: int
    median_output: float
    output_sigma: float
    longest_output: int
