"""Prefill of a prompt by an engine of the prefill stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, TimeoutError

from wisteriagw.connections import ConnectFailedError, HttpRequest, ResponseLostError
from wisteriagw.gateway._attempt_timing import AttemptTiming
from wisteriagw.gateway._work_reservation import WorkReservation
from wisteriagw.platform import MAX_ANSWER_BYTES, build_handle_target, decode_handle

if TYPE_CHECKING:
    from wisteriagw.connections import Response, ResponseHead
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.placement import Plan

KvSource = tuple[tuple[str, int], str]

FREE_HANDLE_TIMEOUT_SECONDS = 1.0
# Timeout in multiples of the larger of the route's target and the estimate; after it,
# the decode engine runs the prefill.
PREFILL_TIMEOUT_FACTOR = 4.0


class PromptPrefill:
    """Runs the prefill on an engine, and frees the KV cache if nobody fetches it."""

    def __init__(self, access: ServerAccess) -> None:
        self._access = access
        self._timing = AttemptTiming(access)
        self._response: Response | None = None
        self._reservation: WorkReservation | None = None
        self._source: KvSource | None = None

    async def run(self, plan: Plan) -> KvSource | None:
        """Return where the prompt's KV cache is kept, or None if the prefill failed."""
        access, context = self._access, self._access.context
        server = context.fleet.fleet.servers[plan.prefill]
        waiting = access.view_server(server).waiting_tokens
        self._timing.start(waiting + plan.uncached_tokens)
        self._reservation = WorkReservation(
            context.work, server.name, plan.uncached_tokens, access.urgent
        )
        access.record_parts(server.name)
        access.notices.count(server.name)
        started = context.reactor.seconds()
        terms = access.build_terms(server)._replace(
            prefill_only=True, fetch_from=access.find_address(plan.fetch_from)
        )
        try:
            self._response = await access.send(terms)
            head, body = await self._read_answer(plan, server)
        except ConnectFailedError as error:
            access.record_failure(server.name, f"prefill: {error}")
            return None
        except (ResponseLostError, TimeoutError) as error:
            reason = f"prefill: {type(error).__name__} {error}"
            access.record_loss(server.name, reason, "prefill", started)
            self._abort_answer()
            return None
        finally:
            self._reservation.release()
        handle = decode_handle(body) if head.status == 200 else None
        if handle is None:
            access.record_failure(server.name, f"prefill: status {head.status}")
            return None
        self._source = (server.address, handle)
        self._record_prefill(plan, waiting, context.reactor.seconds() - started)
        return self._source

    def record_fetched(self) -> None:
        """Record that an engine has fetched the KV cache."""
        self._source = None

    def release(self) -> None:
        """Abort the call, and free a KV cache that nobody has fetched."""
        self._abort_answer()
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None
        if self._source is not None:
            self._free_handle(*self._source)
            self._source = None

    async def _read_answer(
        self, plan: Plan, server: BackendServer
    ) -> tuple[ResponseHead, bytes]:
        access = self._access
        timeout = PREFILL_TIMEOUT_FACTOR * max(
            access.route.target_seconds, plan.seconds
        )
        head = await access.wait_for_head(self._response, plan.prefill, timeout)
        access.notices.record(server, head)
        return head, await self._response.read_body(MAX_ANSWER_BYTES)

    def _abort_answer(self) -> None:
        if self._response is not None:
            self._response.abort()
            self._response = None

    def _record_prefill(self, plan: Plan, waiting: float, seconds: float) -> None:
        access, context = self._access, self._access.context
        self._timing.record()
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

    def _free_handle(self, address: tuple[str, int], handle: str) -> None:
        request = HttpRequest(
            b"DELETE",
            build_handle_target(handle).encode("latin-1"),
            ((b"host", f"{address[0]}:{address[1]}".encode("ascii")),),
        )
        context = self._access.context
        freeing = Deferred.fromCoroutine(self._send_free_request(address, request))
        freeing.addTimeout(FREE_HANDLE_TIMEOUT_SECONDS, context.reactor)
        # A KV cache that is not freed expires on the engine.
        freeing.addErrback(
            lambda failure: context.log.write(
                "handle_not_freed", handle=handle, reason=str(failure.value)
            )
        )

    async def _send_free_request(
        self, address: tuple[str, int], request: HttpRequest
    ) -> None:
        pool = self._access.context.pool
        response = await pool.send(address, request, accepts=None)
        try:
            await response.read_body(MAX_ANSWER_BYTES)
        finally:
            response.abort()
