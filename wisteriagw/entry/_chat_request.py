"""Chat completion request of a caller."""

from __future__ import annotations

from typing import Any, NamedTuple

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768


class ChatRequest(NamedTuple):
    """The supported fields of a chat completion request.

    Attributes
    ----------
    model, adapter, prompt : str
        The model, its adapter and the text of the messages.
    max_tokens : int
        Maximum number of generated tokens.
    stream : bool
        Whether tokens are sent as they are generated.
    continue_elsewhere : bool
        Whether another engine may continue after the tokens that were sent, when the
        first one is lost.
    """

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    stream: bool
    continue_elsewhere: bool = True


def parse_chat_request(body: dict[str, Any]) -> ChatRequest:
    """Return the request in a JSON body, or raise ValueError."""
    model, _, adapter = str(body.get("model", "")).partition(":")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("'messages' must be a non-empty list")
    parts = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            raise ValueError(f"'messages[{number}].content' must be a string")
        parts.append(f"{message.get('role', 'user')}: {message['content']}")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise ValueError(f"'max_tokens' must be between 1 and {MAX_TOKENS_LIMIT}")
    flags = []
    for name, default in (("stream", False), ("continue_elsewhere", True)):
        flag = body.get(name, default)
        if type(flag) is not bool:
            raise ValueError(f"{name!r} must be true or false")
        flags.append(flag)
    prompt = "\n".join(parts)
    # A lone surrogate escape in JSON yields a string that cannot be encoded.
    prompt.encode("utf-8")
    return ChatRequest(model, adapter, prompt, max_tokens, *flags)
