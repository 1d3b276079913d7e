"""Chat completion request of a caller."""

from __future__ import annotations

from typing import Any, NamedTuple

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 32_768


class ChatRequest(NamedTuple):
    """The parts of a chat completion request that are used."""

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool


def parse_chat_request(body: dict[str, Any]) -> ChatRequest:
    """Return the request in a JSON body, or raise ValueError."""
    model, _, adapter = str(body.get("model", "")).partition(":")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("'messages' must be a list that is not empty")
    parts = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            raise ValueError(f"'messages[{number}].content' must be a text")
        parts.append(f"{message.get('role', 'user')}: {message['content']}")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_MAX_TOKENS:
        raise ValueError(f"'max_tokens' must be between 1 and {MAX_MAX_TOKENS}")
    stream = body.get("stream", False)
    if type(stream) is not bool:
        raise ValueError("'stream' must be true or false")
    return ChatRequest(model, adapter, "\n".join(parts), max_tokens, stream)
