"""What is logged of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.backends import StreamEnd


class RequestTrace:
    """Facts of a request that the parts that serve it add.

    Neither a key, a prompt nor a body has a place here.
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
        """Take the backend server and the id from the handle of a generation."""
        self.backend_server, _, self.request_id = handle.rpartition(".")

    def count_tokens(self, end: StreamEnd) -> None:
        """Take the figures of a whole answer; resumed tokens were counted before."""
        self.prompt_tokens = end["prompt_tokens"]
        self.generated_tokens = end["generated_tokens"] - self.first_index


def get_trace(request: Any) -> RequestTrace:
    """Return the trace of a request; one without a trace gets an unused one."""
    return getattr(request, "trace", None) or RequestTrace(0.0)
