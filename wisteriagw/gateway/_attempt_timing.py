"""Durations of one attempt, as samples of its service's rates."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.gateway._server_access import ServerAccess


class AttemptTiming:
    """Measures how long an attempt's caller waits for a prefill or a first event."""

    def __init__(self, access: ServerAccess) -> None:
        self._access = access
        self._started_at = 0.0
        self._tokens = 0.0

    def start(self, tokens: float) -> None:
        """Start to measure an attempt.

        Parameters
        ----------
        tokens : float
            Tokens to prefill, queued ones included, scaled to the prefill stage.
        """
        self._tokens = tokens
        self._started_at = self._access.context.reactor.seconds()

    def record(self) -> None:
        """Record that an engine has finished a prefill call, or sent a first event."""
        access, context = self._access, self._access.context
        if access.caller.prompt is None:
            return
        seconds = context.reactor.seconds() - self._started_at
        context.rates.add_sample(access.service.name, self._tokens, seconds)
