"""Writer of a stream of tokens as one response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.entry._generation_text import join_tokens
from wisteriagw.entry._request_trace import get_trace
from wisteriagw.entry._result_answers import write_result
from wisteriagw.entry._stream_sink import build_usage
from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import StreamEnd


class BufferedSink:
    """Buffers the tokens and sends one response at the end of the stream."""

    can_resume = False
    sent_tokens = False

    def __init__(self, request: Request, request_id: str, model: str) -> None:
        self._request = request
        self._request_id = request_id
        self._model = model
        self._events: list[bytes] = []

    def set_handle(self, handle: str) -> None:
        """Send the caller the handle of the request."""
        get_trace(self._request).set_handle(handle)
        self._request.setHeader(b"wisteriagw-request", handle.encode("latin-1"))

    def write_tokens(self, events: list[bytes]) -> None:
        """Buffer the events of some tokens."""
        self._events.extend(events)

    def finish(self, end: StreamEnd) -> None:
        """Send the complete response; raise ValueError if the tokens are not valid."""
        get_trace(self._request).count_tokens(end)
        message = {"role": "assistant", "content": join_tokens(self._events)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": end["finish_reason"],
        }
        answer = {
            "id": self._request_id,
            "object": "chat.completion",
            "created": 0,
            "model": self._model,
            "choices": [choice],
            "usage": build_usage(end),
        }
        write_json(self._request, 200, answer)

    def refuse(self, result: Any) -> None:
        """Answer with a result other than tokens."""
        self._request.responseHeaders.removeHeader(b"wisteriagw-request")
        write_result(result, self._request)

    def reset(self) -> None:
        """Drop the tokens before a restart of the generation."""
        self._events.clear()
