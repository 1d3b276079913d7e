"""Decoding of callers' requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement import Prompt
from wisteriagw.platform._caller_request import CallerRequest

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest

KEY_SCHEME = "Token "
TOKEN_COUNT = b"x-wisteriagw-token-count"
# Greater numbers are taken for errors; contexts of models are far below.
MAX_TOKENS = 10**9


def decode_caller_request(request: HttpRequest) -> CallerRequest | None:
    """Decode a request, or return None if its id is missing or a value is invalid."""
    headers: dict[bytes, bytes] = {}
    for name, value in request.headers:
        headers.setdefault(name, value)
    try:
        key = headers.get(b"authorization", b"").decode("latin-1")
        timeout = headers.get(b"x-wisteriagw-deadline-ms")
        last_event = headers.get(b"last-event-id")
        return CallerRequest(
            request_id=headers[b"x-wisteriagw-request-id"].decode("ascii"),
            host=headers[b"host"].decode("ascii").lower(),
            path=request.target.partition(b"?")[0].decode("latin-1"),
            key=key.removeprefix(KEY_SCHEME) if key.startswith(KEY_SCHEME) else None,
            timeout=None if timeout is None else float(timeout) / 1000,
            prompt=decode_prompt(headers),
            last_event=None if last_event is None else int(last_event),
            tokens=decode_tokens(headers),
        )
    except (KeyError, ValueError):
        return None


def decode_tokens(headers: dict[bytes, bytes]) -> int | None:
    """Return the tokens that a request may use, or None if it does not state them."""
    counts = headers.get(TOKEN_COUNT)
    if counts is None:
        return None
    prompt, _, output = counts.partition(b",")
    try:
        numbers = int(prompt), int(output or 0)
    except ValueError:
        return None
    if min(numbers) < 0 or max(numbers) > MAX_TOKENS:
        return None
    return sum(numbers)


def decode_prompt(headers: dict[bytes, bytes]) -> Prompt | None:
    """Return the model and sizes of the prompt, or None if a header is missing."""
    model = headers.get(b"x-wisteriagw-model")
    # The header holds two numbers: prompt tokens and maximum output tokens.
    counts = headers.get(TOKEN_COUNT)
    if model is None or counts is None:
        return None
    tokens, _, output = counts.partition(b",")
    parts = []
    for entry in headers.get(b"x-wisteriagw-prompt-prefix", b"").split(b","):
        part, colon, size = entry.strip().partition(b":")
        if colon:
            parts.append((part.decode("ascii"), int(size)))
    return Prompt(model.decode("latin-1"), int(tokens), int(output or 0), tuple(parts))
