"""Counters of the mesh."""

from __future__ import annotations


class MeshCounters:
    """What a process sent, received and dropped since its start."""

    def __init__(self) -> None:
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.garbage_frames = 0
        self.failed_handlers = 0
