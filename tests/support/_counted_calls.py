"""Store calls of one simulated process, counted by topic and kind."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from twisted.internet.defer import Deferred

from tests.support._store_calls import StoreCalls
from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Callable

KINDS = {"log-append": "append", "log-read": "read", "log-newest": "read newest"}


class CountedCalls(StoreCalls):
    """Calls of a process, which stop when the process is killed.

    Attributes
    ----------
    on_appended : callable or None
        ``on_appended(topic)`` is called when an append has taken effect, before its
        answer is received.
    sent : Counter
        Calls of this process by topic and kind.
    silent : bool
        Whether calls have no effect and time out without an answer.
    """

    def __init__(self, clock: Any, server: Any, counts: Counter) -> None:
        super().__init__(clock, server)
        self.on_appended: Callable[[str], None] | None = None
        self.sent: Counter = Counter()
        self.silent = False
        self._process_clock = clock
        self._counts = counts

    async def send(self, address, method, target, body=b"", timeout=2.0, headers=()):
        """Count a call and return its outcome."""
        path, _, query = target.partition("?")
        topic = parse_qs(query)["topic"][0]
        kind = KINDS[path.strip("/")]
        self._counts[topic, kind] += 1
        self.sent[topic, kind] += 1
        if self.silent:
            silence: Deferred = Deferred()
            self._process_clock.callLater(timeout, silence.callback, None)
            await silence
            return MayHaveRun("no answer")
        outcome = await super().send(address, method, target, body, timeout, headers)
        if kind == "append" and self.on_appended is not None:
            self.on_appended(topic)
        if self._process_clock.stopped:
            await Deferred()
        return outcome
