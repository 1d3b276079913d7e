"""Attempts made so far for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.outcomes import Outcome


class Attempts(NamedTuple):
    """Results of the earlier attempts of a request.

    Attributes
    ----------
    excluded : tuple of str
        Backend servers that failed the request.
    may_have_run : bool
        Whether any attempt may have run. It stays true regardless of later attempts,
        because ``not_run`` in an answer covers the whole request.
    """

    excluded: tuple[str, ...] = ()
    may_have_run: bool = False


def record_attempt(
    attempts: Attempts, backend_server: str, outcome: Outcome
) -> Attempts:
    """Return the attempts with one more failed attempt."""
    return Attempts(
        (*attempts.excluded, backend_server),
        attempts.may_have_run or isinstance(outcome, MayHaveRun),
    )
