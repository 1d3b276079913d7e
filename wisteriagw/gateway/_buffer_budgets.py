"""Parts of a machine's memory for the bodies that a process holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.connections import BufferBudget

if TYPE_CHECKING:
    from wisteriagw.platform import NodeSettings

# The rest is for the process itself and for what it writes.
ANSWERS_FRACTION = 0.25
REQUESTS_FRACTION = 0.125
RESPONSES_FRACTION = 0.125
BYTES_PER_MB = 1_000_000


def build_budget(settings: NodeSettings, fraction: float) -> BufferBudget:
    """Return a budget of a part of the machine's memory."""
    return BufferBudget(settings.memory_mb * BYTES_PER_MB * fraction)
