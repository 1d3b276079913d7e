"""Opening of an engine's stream for a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.entry._event_reader import EventReader
from wisteriagw.http import write_error

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.backends import StreamPosition
    from wisteriagw.http._attempt_progress import AttemptProgress

NOT_FOUND = 404


@inlineCallbacks
def connect_stream(
    request: Request,
    opened: tuple[Deferred[Any], AttemptProgress],
    sink: Any,
    position: StreamPosition,
    handle: str,
) -> Generator[Deferred[Any], Any, None]:
    """Connect the stream that an engine answers with to a sink.

    Parameters
    ----------
    request : Request
        Request of the caller.
    opened : tuple of Deferred and AttemptProgress
        Result of ``HttpClient.open``.
    sink : object
        Takes the tokens; see ``EventReader``.
    position : StreamPosition
        Attempt and first index that the caller lacks.
    handle : str
        What the caller resumes the stream with.
    """
    opening, progress = opened
    try:
        response = yield opening
    except Exception as error:
        # Every loss is classified by how far the attempt came, not by its name.
        not_run = not progress.may_have_been_sent
        code = "no_backend_server" if not_run else "may_have_run"
        write_error(request, 502, code, str(error), not_run=not_run)
        return
    if response.code == NOT_FOUND:
        write_error(request, 404, "not_found", "unknown request", not_run=True)
        return
    request.setHeader(b"wisteriagw-request", handle.encode("latin-1"))
    response.deliverBody(EventReader(sink, position))
