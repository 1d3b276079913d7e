"""Reading of log streams to their tip, and writing of their checkpoints."""

from __future__ import annotations

from wisteriagw.follower._checkpoint_writer import CheckpointWriter
from wisteriagw.follower._stream_follower import StreamFollower

__all__ = ["CheckpointWriter", "StreamFollower"]
