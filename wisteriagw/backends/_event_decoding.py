"""Decoding of the events of an engine's stream."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from wisteriagw.backends._stream_end import StreamEnd

if TYPE_CHECKING:
    from wisteriagw.backends._stream_position import StreamPosition

ID_PREFIX = b"id: "
END_PREFIX = b"event: end\ndata: "
SUPERSEDED_PREFIX = b"event: superseded\n"
MAX_INDEX_DIGITS = 9
# The response headers of an engine's stream carry the token counts of the prompt, so
# that a generation that is lost with its engine can be billed.
PROMPT_TOKENS_HEADER = b"wisteriagw-prompt-tokens"
CACHED_TOKENS_HEADER = b"wisteriagw-cached-tokens"
FIGURE_NAMES = ("prompt_tokens", "cached_tokens", "generated_tokens")


def read_event_index(event: bytes, position: StreamPosition) -> int | None:
    """Return the index of an event, or None if it belongs to another attempt.

    Raises ValueError for an event that has no valid id.
    """
    id_line, separator, _ = event.partition(b"\n")
    if not separator or not id_line.startswith(ID_PREFIX):
        raise ValueError("the event has no id")
    attempt, separator, index = id_line[len(ID_PREFIX) :].rpartition(b"/")
    if not separator or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        raise ValueError("the id of the event is not of the form attempt/index")
    if attempt != position.attempt:
        return None
    return int(index)


def read_stream_end(payload: bytes) -> StreamEnd:
    """Decode the closing event, or raise ValueError."""
    try:
        value = json.loads(payload)
    except RecursionError as error:
        raise ValueError("the closing event is nested too deeply") from error
    if not isinstance(value, dict):
        raise ValueError("the closing event is not a JSON object")
    for name in FIGURE_NAMES:
        if type(value.get(name)) is not int or value[name] < 0:
            raise ValueError(f"{name} of the closing event is not an integer >= 0")
    value["ended_before"] = value.get("ended_before") is True
    if not isinstance(value.get("finish_reason"), str):
        raise ValueError("the closing event has no finish_reason")
    return StreamEnd(**{name: value[name] for name in StreamEnd.__annotations__})
