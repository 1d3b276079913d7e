"""Writer of a stream of tokens to a caller."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.entry._request_trace import get_trace
from wisteriagw.entry._result_answers import write_result

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import StreamEnd


class StreamSink:
    """Sends tokens to the caller as server-sent events.

    Attributes
    ----------
    can_resume : bool
        Whether the caller can resume the stream.
    sent_tokens : bool
        Whether the response has started, so that it cannot be replaced.
    """

    can_resume = True

    def __init__(self, request: Request, request_id: str, model: str) -> None:
        self.sent_tokens = False
        self._request = request
        self._request_id = request_id
        self._model = model

    def set_handle(self, handle: str) -> None:
        """Send the caller the handle for resuming the stream."""
        get_trace(self._request).set_handle(handle)
        data = handle.encode("latin-1")
        if not self.sent_tokens:
            self._request.setHeader(b"wisteriagw-request", data)
            return
        self._request.write(b"event: moved\ndata: %b\n\n" % data)

    def write_tokens(self, events: list[bytes]) -> None:
        """Send the events of some tokens in one write."""
        data = events[0] if len(events) == 1 else b"".join(events)
        if self.sent_tokens:
            self._request.write_chunk(data)
            return
        self._start()
        self._request.write(data)

    def finish(self, end: StreamEnd) -> None:
        """Send the closing chunk with the usage, and end the response."""
        if not self.sent_tokens:
            self._start()
        get_trace(self._request).count_tokens(end)
        chunk = {
            "id": self._request_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self._model,
            "choices": [
                {"index": 0, "delta": {}, "finish_reason": end["finish_reason"]}
            ],
            "usage": build_usage(end),
        }
        data = json.dumps(chunk).encode("utf-8")
        self._request.write(b"data: %b\n\ndata: [DONE]\n\n" % data)
        self._request.finish()

    def refuse(self, result: Any) -> None:
        """Answer with a result other than tokens.

        After the first token the response is aborted instead, so that the caller does
        not take it for complete.
        """
        if self.sent_tokens:
            get_trace(self._request).aborted = True
            self._request.transport.abortConnection()
            return
        self._request.responseHeaders.removeHeader(b"wisteriagw-request")
        write_result(result, self._request)

    def reset(self) -> None:
        """Prepare for a restart of the generation; no token was sent."""

    def _start(self) -> None:
        self.sent_tokens = True
        get_trace(self._request).first_token_at = self._request.site.clock()
        self._request.setHeader(b"content-type", b"text/event-stream")
        self._request.setHeader(b"cache-control", b"no-store")


def build_usage(end: StreamEnd) -> dict[str, int]:
    """Return the usage part of a chat completion."""
    return {
        "prompt_tokens": end["prompt_tokens"],
        "completion_tokens": end["generated_tokens"],
        "total_tokens": end["prompt_tokens"] + end["generated_tokens"],
    }
