"""Attempts made so far for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.outcomes import Outcome


# A request that loses its connection at two servers may be what ends them: it goes to
# no third one, whatever the retry budget allows.
MAX_LOST_SERVERS = 2


class Attempts(NamedTuple):
    """Results of the earlier attempts of a request.

    Attributes
    ----------
    excluded : tuple of str
        Backend servers that failed the request.
    may_have_run : bool
        Whether any attempt may have run. It stays true regardless of later attempts,
        because ``not_run`` in an answer covers the whole request.
    lost_servers : int
        Attempts that ended without a response although the request was sent.
    """

    excluded: tuple[str, ...] = ()
    may_have_run: bool = False
    lost_servers: int = 0

    @property
    def may_go_on(self) -> bool:
        """Whether another server may be tried after those that were lost."""
        return self.lost_servers < MAX_LOST_SERVERS


def record_attempt(
    attempts: Attempts, backend_server: str, outcome: Outcome
) -> Attempts:
    """Return the attempts with one more failed attempt."""
    lost = isinstance(outcome, MayHaveRun)
    return Attempts(
        (*attempts.excluded, backend_server),
        attempts.may_have_run or lost,
        attempts.lost_servers + lost,
    )


def record_cancelled(
    attempts: Attempts, backend_server: str, may_have_run: bool
) -> Attempts:
    """Return the attempts with one more that was cancelled before its outcome."""
    return attempts._replace(
        excluded=(*attempts.excluded, backend_server),
        may_have_run=attempts.may_have_run or may_have_run,
    )
