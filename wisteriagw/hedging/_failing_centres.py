"""Data centres whose servers fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.placement import ServerView

# The penalty is 0.75 s after one failure without recent answers, and falls below this
# within 2 s or with three answers.
FAILING_PENALTY_SECONDS = 0.5


def is_centre_failing(views: Iterable[ServerView], data_centre: str) -> bool:
    """Return whether at least half of the servers in a data centre fail.

    Load: loss of a data centre or of its links, where another server of the same one
    would fail as well.
    """
    penalties = [
        view.failure_penalty for view in views if view.data_centre == data_centre
    ]
    failing = sum(penalty >= FAILING_PENALTY_SECONDS for penalty in penalties)
    return bool(penalties) and 2 * failing >= len(penalties)
