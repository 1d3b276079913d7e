"""Usage counting of an entry process."""

from __future__ import annotations

import secrets
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.entry._generation_usage import GenerationUsage
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.usage import UsageCounter, UsageFigures, get_window

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.entry._generation_plan import GenerationPlan
    from wisteriagw.outcomes import Outcome

INCARNATION_BYTES = 8
ONE_CALL = UsageFigures(service_calls=1)


class UsageRecorder:
    """Counts generations and calls by customer and by the window of their end.

    Attributes
    ----------
    counter : UsageCounter
        Counted usage that is not in the log yet.
    open_generations : set of GenerationUsage
        Generations that have not ended.
    """

    def __init__(
        self, vm: str, wall_clock: Callable[[], float], window_seconds: float
    ) -> None:
        self.counter = UsageCounter(vm, secrets.token_hex(INCARNATION_BYTES))
        self.open_generations: set[GenerationUsage] = set()
        self._wall_clock = wall_clock
        self._window_seconds = window_seconds

    def track(self, plan: GenerationPlan) -> GenerationUsage:
        """Return the usage of a new generation."""
        resumed = plan.chat is None
        usage = GenerationUsage(self, plan.request_id, plan.customer, resumed=resumed)
        self.open_generations.add(usage)
        return usage

    def count(self, customer: str, figures: UsageFigures, request_id: str = "") -> None:
        """Count finished work; with an id, only the largest figures count."""
        if not customer:
            # Open routes belong to no customer.
            return
        window = get_window(self._wall_clock(), self._window_seconds)
        if request_id:
            self.counter.count_by_id(request_id, window, customer, figures)
        else:
            self.counter.count(window, customer, figures)

    @inlineCallbacks
    def run_call(
        self, send: Callable[[], Deferred[Outcome]], customer: str, *, idempotent: bool
    ) -> Generator[Deferred[Any], Any, Outcome]:
        """Send a plain service call and count it by its outcome, not by its attempts.

        A response that was recorded for another call with the same idempotency key is
        returned without a call of this method, and so does not count again.
        """
        outcome = yield send()
        if self._is_billed(outcome, idempotent):
            self.count(customer, ONE_CALL)
        return outcome

    @singledispatchmethod
    def _is_billed(self, outcome: Any, idempotent: bool) -> bool:
        return False

    @_is_billed.register
    def _(self, outcome: Done, idempotent: bool) -> bool:
        return True

    @_is_billed.register
    def _(self, outcome: MayHaveRun, idempotent: bool) -> bool:
        # The service may have run it, and the caller must not repeat it. An idempotent
        # call is repeated by its caller and is counted once it is answered.
        return not idempotent

    def count_open(self) -> None:
        """Count the known figures of generations that the shutdown may end."""
        for usage in self.open_generations:
            usage.count_known()
