"""A request whose usage is counted by its id."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.usage._usage_figures import UsageFigures


class CountedRequest(NamedTuple):
    """Figures counted for a request, and the window in which it was last counted."""

    figures: UsageFigures
    window: int
