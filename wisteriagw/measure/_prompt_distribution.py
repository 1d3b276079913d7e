"""Size distribution of one kind of prompt."""

from __future__ import annotations

from typing import NamedTuple


class PromptDistribution(NamedTuple):
    """Prompt and output lengths of one kind of prompt, lognormal and heavy-tailed."""

    median_prompt: float
    prompt_sigma: float
    longest_prompt: int
    shared_fraction: float
    shared_blocks: int
    median_output: float
    output_sigma: float
    longest_output: int
