"""Messages of model engines and plain services."""

from __future__ import annotations

from wisteriagw.backends._event_check import read_event_index
from wisteriagw.backends._generate_request import GenerateRequest
from wisteriagw.backends._stream_end import StreamEnd
from wisteriagw.backends._stream_position import StreamPosition

__all__ = ["GenerateRequest", "StreamEnd", "StreamPosition", "read_event_index"]
