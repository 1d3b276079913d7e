"""Counters of the mesh."""

from __future__ import annotations


class MeshCounters:
    """Messages sent, received and dropped since the process started."""

    def __init__(self) -> None:
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.invalid_frames = 0
        self.failed_handlers = 0
