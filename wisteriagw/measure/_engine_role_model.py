"""Speed of a fake engine in a role."""

from __future__ import annotations

from typing import NamedTuple

BASE_STEP_SECONDS = 0.006
STREAM_STEP_SECONDS = 0.000_25
PREFILL_TOKEN_SECONDS = 1 / 32_000
# Part of a 30 ms step that does work; the rest is the fixed cost of the step.
CAPACITY = 0.8


class EngineRoleModel(NamedTuple):
    """Prompt tokens per step, and streams that decode at once."""

    chunk_tokens: int
    max_batch: int


ROLE_MODELS = {
    "prefill": EngineRoleModel(640, 24),
    "decode": EngineRoleModel(160, 96),
}
