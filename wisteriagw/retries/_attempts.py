"""Attempts made so far for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.outcomes import Outcome


class Attempts(NamedTuple):
    """What earlier attempts say about a request.

    Attributes
    ----------
    excluded : tuple of str
        Backend servers that failed the request.
    may_have_run : bool
        Whether any attempt may have run. It stays true whatever later attempts bring,
        because an answer that says ``not_run`` speaks of the whole request.
    """

    excluded: tuple[str, ...] = ()
    may_have_run: bool = False


def record_attempt(
    attempts: Attempts, backend_server: str, outcome: Outcome
) -> Attempts:
    """Return the attempts with a failed one added."""
    return Attempts(
        (*attempts.excluded, backend_server),
        attempts.may_have_run or isinstance(outcome, MayHaveRun),
    )
