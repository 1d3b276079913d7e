"""Usage of one generation."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.backends import (
    CACHED_TOKENS_HEADER,
    FIGURE_NAMES,
    PROMPT_TOKENS_HEADER,
)
from wisteriagw.outcomes import Done
from wisteriagw.usage import UsageFigures

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

    from wisteriagw.backends import StreamEnd
    from wisteriagw.entry._usage_recorder import UsageRecorder

MAX_DIGITS = 9


class GenerationUsage:
    """Known figures of one generation, until they are counted.

    A generation that one engine began and ended for this process is counted in the
    aggregate. Every other one is counted by its request id with all figures known:
    other processes may count it too, and the largest figures per id are billed.

    Attributes
    ----------
    next_index : int
        Number of tokens received, set by the relay.
    """

    def __init__(
        self, recorder: UsageRecorder, request_id: str, customer: str, *, resumed: bool
    ) -> None:
        self.next_index = 0
        self._recorder = recorder
        self._request_id = request_id
        self._customer = customer
        self._resumed = resumed
        self._interrupted = resumed
        self._generated = 0
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._closed = False

    def record_prompt_figures(self, headers: Headers) -> None:
        """Read the figures of the prompt from the response headers of an engine."""
        self._prompt_tokens = read_figure(headers, PROMPT_TOKENS_HEADER)
        self._cached_tokens = read_figure(headers, CACHED_TOKENS_HEADER)

    def mark_interrupted(self) -> None:
        """Record an interruption, after which the generation is counted by its id."""
        self._interrupted = True
        self._generated = max(self._generated, self.next_index)

    def finish(self, end: StreamEnd) -> None:
        """Count a generation whose engine sent the closing figures."""
        if self._close() or (self._resumed and end["ended_before"]):
            # The process that got the closing event has counted it in its aggregate.
            return
        self._count(end, self._request_id if self._interrupted else "")

    def stop(self) -> None:
        """Count the known figures of a generation whose relay stops before its end."""
        if not self._close():
            self.count_known()

    def count_known(self) -> None:
        """Count the figures known so far; larger ones may follow."""
        self.mark_interrupted()
        if self._generated == 0:
            return
        known = (self._prompt_tokens, self._cached_tokens, self._generated)
        figures = dict(zip(FIGURE_NAMES, known, strict=True))
        self._count(figures, self._request_id)

    def record_cancel_reply(self, outcome: Any) -> None:
        """Count the figures that an engine reports for a cancelled generation.

        The figures do not count while the generation continues at another engine:
        tokens generated after the loss were never sent to the caller.
        """
        if not self._closed or not isinstance(outcome, Done):
            return
        try:
            reply = json.loads(outcome.body)
            figures = {name: int(reply[name]) for name in FIGURE_NAMES}
        except (KeyError, TypeError, ValueError, RecursionError):
            # The generation was taken over, or the reply is not from an engine.
            return
        if any(figures.values()) and min(figures.values()) >= 0:
            self._count(figures, self._request_id)

    def _count(self, figures: Any, request_id: str) -> None:
        values = UsageFigures(*(figures[name] for name in FIGURE_NAMES))
        self._recorder.count(self._customer, values, request_id)

    def _close(self) -> bool:
        """Mark the usage as closed; return whether it was closed already."""
        was_closed, self._closed = self._closed, True
        self._recorder.open_generations.discard(self)
        return was_closed


def read_figure(headers: Headers, name: bytes) -> int:
    """Return a count from a response header, 0 without one."""
    text = (headers.getRawHeaders(name) or [b"0"])[0]
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else 0
