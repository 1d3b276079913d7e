"""Performance model of a fake engine in a role."""

from __future__ import annotations

from typing import NamedTuple

BASE_STEP_SECONDS = 0.006
STREAM_STEP_SECONDS = 0.000_25
PREFILL_TOKEN_SECONDS = 1 / 32_000
# Engine seconds of work per second: a step of 30 ms has a fixed overhead of 6 ms.
ENGINE_CAPACITY = 0.8


class EngineRoleModel(NamedTuple):
    """Prompt tokens per step and maximum number of streams in a decode batch."""

    chunk_tokens: int
    max_batch: int


ROLE_MODELS = {
    "prefill": EngineRoleModel(640, 24),
    "decode": EngineRoleModel(160, 96),
}
