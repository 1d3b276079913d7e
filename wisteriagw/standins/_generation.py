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
        self.first_index = request["first_index"]
        self.generated_tokens = self.first_index
        self.finish_reason = ""
        self.attempt = request["attempt"]
        self.reader: Any = None
        self.without_reader_since = 0.0
        # A prompt that is continued elsewhere keeps its beginning, and so its tokens.
        prompt = request["prompt"].partition("\n")[0]
        self._prefix = hashlib.sha256(prompt.encode("utf-8")).hexdigest()[:4]

    def use_cached(self, tokens: int) -> None:
        """Skip the prefill of tokens that are in the prefix cache."""
        self.cached_tokens = min(tokens, self.prompt_tokens)
        self.prefill_left = float(self.prompt_tokens - self.cached_tokens)

    def get_token(self, index: int) -> str:
        """Return a token; it depends on the prompt, so that crossed answers show."""
        return f"{self._prefix}.{index} "
