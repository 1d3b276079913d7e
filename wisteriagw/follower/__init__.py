"""Following of log streams: state, checkpoints and record history."""

from __future__ import annotations

from wisteriagw.follower._checkpoint_writer import CheckpointWriter
from wisteriagw.follower._record_history import RecordHistory
from wisteriagw.follower._stream_follower import StreamFollower

__all__ = [
    "CheckpointWriter",
    "RecordHistory",
    "StreamFollower",
]
