"""Report and outcome of a finished request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.entry._request_trace import RequestTrace

DONE = "done"
NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
CONNECTION_LOST = "connection_lost"


class RequestReport(NamedTuple):
    """Facts of a finished request, for logs and metrics; durations are in seconds.

    Attributes
    ----------
    outcome : str
        ``done``, ``not_run``, ``may_have_run`` or ``connection_lost``.
    code : str
        Code of the error that the caller was answered with, if any.
    status : int
        HTTP status; that of an aborted stream was sent before the abort.
    tokens, prompt_tokens : int
        Figures of a generation that completed.
    """

    request_id: str
    customer: str
    backend_server: str
    method: str
    route: str
    outcome: str
    code: str
    status: int
    prompt_tokens: int
    tokens: int
    first_token_seconds: float | None
    seconds: float


def build_report(
    request: Any, trace: RequestTrace, now: float, *, answered: bool
) -> RequestReport:
    """Return the report of a request that has ended."""
    first = trace.first_token_at
    return RequestReport(
        request_id=trace.request_id,
        customer=trace.customer,
        backend_server=trace.backend_server,
        method=request.method.decode("latin-1")[:MAX_METHOD_LENGTH],
        route=describe_route(request.path),
        outcome=decide_outcome(
            request.not_run, answered=answered, aborted=trace.aborted
        ),
        code=request.error_code,
        status=request.code,
        prompt_tokens=trace.prompt_tokens,
        tokens=trace.generated_tokens,
        first_token_seconds=None if first is None else first - trace.started_at,
        seconds=now - trace.started_at,
    )


def decide_outcome(not_run: bool | None, *, answered: bool, aborted: bool) -> str:
    """Return the outcome; ``not_run`` is the field of an error, None without one."""
    if aborted:
        return MAY_HAVE_RUN
    if not answered:
        return CONNECTION_LOST
    if not_run is None:
        return DONE
    return NOT_RUN if not_run else MAY_HAVE_RUN


MAX_METHOD_LENGTH = 16
KNOWN_ROUTES = (b"chat", b"models", b"services", b"requests", b"addresses")


def describe_route(path: bytes) -> str:
    """Return the route without the parts from callers, which may hold personal data."""
    parts = path.split(b"/")
    if len(parts) > 2 and parts[1] == b"v1" and parts[2] in KNOWN_ROUTES:
        return f"/v1/{parts[2].decode('ascii')}"
    return "/healthz" if path == b"/healthz" else "other"
