"""Reading of a prompt by an engine of the prefill stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, TimeoutError

from wisteriagw.connections import ConnectFailedError, HttpRequest, ResponseLostError
from wisteriagw.gateway._work_hold import WorkHold
from wisteriagw.platform import build_handle_target, decode_handle

if TYPE_CHECKING:
    from wisteriagw.connections import Response, ResponseHead
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.placement import Plan

Source = tuple[tuple[str, int], str]

FREE_TIMEOUT_SECONDS = 1.0
# An engine that takes this many times the target and the estimate is silent; the prompt
# is then read by the engine that answers.
LATE_FACTOR = 4.0


class PromptReading:
    """Has an engine read the prompt, and frees its KV cache if nobody takes it."""

    def __init__(self, access: ServerAccess) -> None:
        self._access = access
        self._answer: Response | None = None
        self._hold: WorkHold | None = None
        self._source: Source | None = None

    async def read(self, plan: Plan) -> Source | None:
        """Return where the prompt's KV cache is kept, or None if it was not read."""
        access, context = self._access, self._access.context
        server = context.fleet.fleet.servers[plan.prefill]
        waiting = access.count_waiting(server)
        self._hold = WorkHold(context.work, server.name, plan.uncached_tokens)
        access.note_parts(server.name)
        started = context.reactor.seconds()
        terms = access.build_terms(server)._replace(
            prefill_only=True, fetch_from=access.find_address(plan.fetch_from)
        )
        try:
            self._answer = await access.send(terms)
            head, body = await self._wait(plan)
        except (ConnectFailedError, ResponseLostError, TimeoutError) as error:
            access.note_failure(server.name, f"prefill: {type(error).__name__} {error}")
            self._answer_is_over()
            return None
        finally:
            self._hold.release()
        handle = decode_handle(body) if head.status == 200 else None
        if handle is None:
            access.note_failure(server.name, f"prefill: status {head.status}")
            return None
        self._source = (server.address, handle)
        self._note_read(plan, waiting, context.reactor.seconds() - started)
        return self._source

    def note_taken(self) -> None:
        """Take that an engine has fetched the KV cache."""
        self._source = None

    def release(self) -> None:
        """Give up the call, or free the KV cache that nobody has taken."""
        self._answer_is_over()
        if self._hold is not None:
            self._hold.release()
            self._hold = None
        if self._source is not None:
            self._free(*self._source)
            self._source = None

    async def _wait(self, plan: Plan) -> tuple[ResponseHead, bytes]:
        access = self._access
        bound = LATE_FACTOR * max(access.route.target_seconds, plan.seconds)
        head = await access.wait_for_head(self._answer, plan.prefill, bound)
        return head, await self._answer.read_body()

    def _answer_is_over(self) -> None:
        if self._answer is not None:
            self._answer.abort()
            self._answer = None

    def _note_read(self, plan: Plan, waiting: float, seconds: float) -> None:
        access, context = self._access, self._access.context
        tokens = waiting + plan.uncached_tokens
        context.rates.add_sample(access.service.name, tokens, seconds)
        context.work.record_success(plan.prefill, context.reactor.seconds())
        context.log.write(
            "prefilled",
            request_id=access.caller.request_id,
            server=plan.prefill,
            fetched_from=plan.fetch_from,
            waiting_tokens=round(waiting),
            uncached_tokens=round(plan.uncached_tokens),
            seconds=round(seconds, 4),
        )

    def _free(self, address: tuple[str, int], handle: str) -> None:
        request = HttpRequest(
            b"DELETE",
            build_handle_target(handle).encode("latin-1"),
            ((b"host", f"{address[0]}:{address[1]}".encode("ascii")),),
        )
        context = self._access.context
        freeing = Deferred.fromCoroutine(self._send_free(address, request))
        freeing.addTimeout(FREE_TIMEOUT_SECONDS, context.reactor)
        # A KV cache that is not freed lapses by itself.
        freeing.addErrback(
            lambda failure: context.log.write(
                "handle_not_freed", handle=handle, reason=str(failure.value)
            )
        )

    async def _send_free(self, address: tuple[str, int], request: HttpRequest) -> None:
        pool = self._access.context.pool
        answer = await pool.send(address, request, lambda head: True)
        try:
            await answer.read_body()
        finally:
            answer.abort()
