"""One request inside the engine stand-in."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from wisteriagw.routing import estimate_tokens

if TYPE_CHECKING:
    from wisteriagw.backends import GenerateRequest


class Generation:
    """Tokens generated for a request, and the reader they are sent to."""

    def __init__(self, request: GenerateRequest) -> None:
        self.request_id = request["request_id"]
        self.customer = request["customer"]
        self.model = request["model"]
        self.priority = request["priority"]
        self.max_tokens = request["max_tokens"]
        self.prompt_tokens = estimate_tokens(request["prompt"])
        self.cached_tokens = 0
        self.prefill_left = float(self.prompt_tokens)
        self.generated_tokens = 0
        self.finish_reason = ""
        self.attempt = request["attempt"]
        self.reader: Any = None
        self._prefix = hashlib.sha256(request["prompt"].encode()).hexdigest()[:4]

    def get_token(self, index: int) -> str:
        """Return a token; it depends on the prompt, so that crossed answers show."""
        return f"{self._prefix}.{index} "
