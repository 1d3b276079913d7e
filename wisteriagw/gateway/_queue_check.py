"""Check of a stream against the queues before its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.outcomes import RefusedNotRun
from wisteriagw.placement import (
    QueueTerms,
    find_patience,
    find_queue_limit,
    find_queue_return,
    is_queue_too_long,
    is_returning,
)

if TYPE_CHECKING:
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.placement import Plan

MESSAGE = "the queues of the engines are too long"


class QueueCheck:
    """Refuses a stream that would come late, or lets it overtake the less urgent."""

    def __init__(self, access: ServerAccess) -> None:
        self._access = access

    def check(self, plan: Plan) -> Plan | RefusedNotRun:
        """Return the plan to use, or the refusal of the first attempt.

        An urgent stream is placed a second time only when its plan is refused, so that
        nothing changes without overload.
        """
        access, caller, route = self._access, self._access.caller, self._access.route
        if (
            not route.streaming
            or caller.prompt is None
            or caller.last_event is not None
        ):
            return plan
        terms = QueueTerms(
            route.target_seconds,
            find_patience(route.target_seconds, route.gap_seconds),
            is_returning(route.timeout, caller.timeout),
        )
        if not is_queue_too_long(plan.queue_seconds, terms):
            return plan
        overtaking = access.place_urgent() if access.urgent else None
        if overtaking is not None:
            if not is_queue_too_long(overtaking.queue_seconds, terms):
                access.overtakes = True
                self._write("queue_overtaken", plan, terms, overtaking)
                return overtaking
            if overtaking.queue_seconds < plan.queue_seconds:
                plan = overtaking
        return self._refuse(plan, terms)

    def _refuse(self, plan: Plan, terms: QueueTerms) -> RefusedNotRun:
        access = self._access
        context = access.context
        retry_after = find_queue_return(
            plan.queue_seconds - find_queue_limit(terms),
            access.deadline - context.reactor.seconds(),
            context.draw(),
        )
        self._write("queue_refusal", plan, terms, None, retry_after)
        return RefusedNotRun("overloaded", MESSAGE, retry_after)

    def _write(
        self,
        message_type: str,
        plan: Plan,
        terms: QueueTerms,
        overtaking: Plan | None,
        retry_after: float | None = None,
    ) -> None:
        access = self._access
        details = {}
        if overtaking is not None:
            details = {
                "server": overtaking.server,
                "prefill": overtaking.prefill,
                "urgent_queue": round(overtaking.queue_seconds, 3),
            }
        if retry_after is not None:
            details = {"retry_after": round(retry_after, 3)}
        access.context.log.write(
            message_type,
            request_id=access.caller.request_id,
            service=access.service.name,
            queue=round(plan.queue_seconds, 3),
            target=terms.target_seconds,
            patience=terms.patience_seconds,
            returning=terms.returning,
            urgent=access.urgent,
            **details,
        )
