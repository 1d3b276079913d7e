"""Generation of the engine stand-in."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from wisteriagw.routing import estimate_tokens

if TYPE_CHECKING:
    from wisteriagw.backends import GenerateRequest


class Generation:
    """Generated tokens of a request, and the reader that receives them."""

    def __init__(self, request: GenerateRequest) -> None:
        self.request_id = request["request_id"]
        self.customer = request["customer"]
        self.model = request["model"]
        self.priority = request["priority"]
        self.max_tokens = request["max_tokens"]
        self.prompt_tokens = estimate_tokens(request["prompt"])
        self.cached_tokens = 0
        generated = request["generated"]
        context_tokens = estimate_tokens(request["prompt"] + generated)
        self.prefill_left = float(context_tokens)
        self.first_index = request["first_index"]
        self.generated_tokens = self.first_index
        self.finish_reason = ""
        self.attempt = request["attempt"]
        self.reader: Any = None
        self.detached_at = 0.0
        self.ended_before = False
        prompt = request["prompt"].encode("utf-8")
        self._prefix = hashlib.sha256(prompt).hexdigest()[:4]

    @property
    def figures(self) -> dict[str, int]:
        """Work done so far; a prompt counts only after its prefill has ended."""
        prefilled = self.prefill_left <= 0
        return {
            "prompt_tokens": self.prompt_tokens if prefilled else 0,
            "cached_tokens": self.cached_tokens if prefilled else 0,
            "generated_tokens": self.generated_tokens,
        }

    def skip_cached_prefill(self, tokens: int) -> None:
        """Skip the prefill of tokens that are in the prefix cache."""
        self.cached_tokens = min(tokens, self.prompt_tokens)
        self.prefill_left = max(0.0, self.prefill_left - tokens)

    def get_token(self, index: int) -> str:
        """Return a token; it depends on the prompt, so that mixed-up answers differ."""
        return f"{self._prefix}.{index} "
