"""Facts of one request for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.backends import StreamEnd


class RequestTrace:
    """Facts of a request, added by the code that serves it.

    It must not contain a key, a prompt or a body.
    """

    def __init__(self, started_at: float, request_id: str = "") -> None:
        self.started_at = started_at
        self.first_token_at: float | None = None
        self.request_id = request_id
        self.customer = ""
        self.backend_server = ""
        self.first_index = 0
        self.prompt_tokens = 0
        self.generated_tokens = 0
        self.aborted = False

    def set_handle(self, handle: str) -> None:
        """Set the backend server and the id from the handle of a generation."""
        self.backend_server, _, self.request_id = handle.rpartition(".")

    def count_tokens(self, end: StreamEnd) -> None:
        """Set the figures of a complete response, less the tokens before a resume."""
        self.prompt_tokens = end["prompt_tokens"]
        self.generated_tokens = end["generated_tokens"] - self.first_index


def get_trace(request: Any) -> RequestTrace:
    """Return the trace of a request, or an unused one if it has none."""
    return getattr(request, "trace", None) or RequestTrace(0.0)
