"""Attempt to run a request on one fake backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.measure._request_trace import RequestTrace


class Attempt:
    """Execution of a request on one fake backend server.

    ``imported`` is true if the KV cache was transferred with the request, so that no
    prefill is needed.
    """

    __slots__ = (
        "trace",
        "owner",
        "handle",
        "output_left",
        "prompt_tokens",
        "prefill_left",
        "cached_blocks",
        "imported",
        "first_step",
        "server",
        "refused_by",
    )

    def __init__(self, trace: RequestTrace, owner: Any, handle: str) -> None:
        self.trace = trace
        self.owner = owner
        self.handle = handle
        self.output_left = trace.request.output_tokens - trace.tokens
        self.prompt_tokens = trace.request.prompt_tokens + trace.tokens
        self.prefill_left = -1.0
        self.cached_blocks = 0
        self.imported = False
        self.first_step = 0
        self.server: Any = None
        self.refused_by = ""
