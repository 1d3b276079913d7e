"""Requests to model engines and the events of their streams."""

from __future__ import annotations

from wisteriagw.backends._event_decoding import (
    CACHED_TOKENS_HEADER,
    END_PREFIX,
    FIGURE_NAMES,
    PROMPT_TOKENS_HEADER,
    SUPERSEDED_PREFIX,
    read_event_index,
    read_stream_end,
)
from wisteriagw.backends._generate_request import GenerateRequest
from wisteriagw.backends._stream_end import StreamEnd
from wisteriagw.backends._stream_position import StreamPosition

__all__ = [
    "CACHED_TOKENS_HEADER",
    "END_PREFIX",
    "FIGURE_NAMES",
    "PROMPT_TOKENS_HEADER",
    "SUPERSEDED_PREFIX",
    "GenerateRequest",
    "StreamEnd",
    "StreamPosition",
    "read_event_index",
    "read_stream_end",
]
