"""Collector of a stream of tokens into one answer."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from wisteriagw.entry._stream_sink import build_usage
from wisteriagw.http import write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import StreamEnd


class WholeSink:
    """Answers the caller once, when the stream has ended."""

    def __init__(self, request: Request, request_id: str, model: str) -> None:
        self._request = request
        self._request_id = request_id
        self._model = model
        self._parts: list[str] = []

    def write_tokens(self, events: list[bytes]) -> None:
        """Keep the tokens of some events."""
        for event in events:
            chunk = json.loads(event.partition(b"data: ")[2])
            self._parts.append(chunk["choices"][0]["delta"]["content"])

    def finish(self, end: StreamEnd) -> None:
        """Send the whole answer."""
        message = {"role": "assistant", "content": "".join(self._parts)}
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

    def lose(self, reason: str) -> None:
        """Answer that the request may have run."""
        message = f"the stream was lost: {reason}"
        write_error(self._request, 502, "may_have_run", message, not_run=False)
