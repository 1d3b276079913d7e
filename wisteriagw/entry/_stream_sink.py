"""Writer of a stream of tokens to a caller."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import StreamEnd


class StreamSink:
    """Sends tokens to the caller as server-sent events."""

    def __init__(self, request: Request, request_id: str, model: str) -> None:
        self._request = request
        self._request_id = request_id
        self._model = model
        request.setHeader(b"content-type", b"text/event-stream")
        request.setHeader(b"cache-control", b"no-store")

    def write_tokens(self, events: list[bytes]) -> None:
        """Send the events of some tokens in one write."""
        self._request.write(b"".join(events))

    def finish(self, end: StreamEnd) -> None:
        """Send the closing chunk with the usage, and end the response."""
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

    def lose(self, reason: str) -> None:
        """Break the response off, so that the caller does not take it for whole."""
        self._request.transport.abortConnection()


def build_usage(end: StreamEnd) -> dict[str, int]:
    """Return the usage part of a chat completion."""
    return {
        "prompt_tokens": end["prompt_tokens"],
        "completion_tokens": end["generated_tokens"],
        "total_tokens": end["prompt_tokens"] + end["generated_tokens"],
    }
