"""Checkpoints: their parts, the choice of one to load, and when to write one."""

from __future__ import annotations

from wisteriagw.checkpoints._checkpoint import Checkpoint
from wisteriagw.checkpoints._checkpoint_codec import CheckpointCodec
from wisteriagw.checkpoints._checkpoint_progress import CheckpointProgress
from wisteriagw.checkpoints._choice import choose_checkpoint
from wisteriagw.checkpoints._collection import (
    PartCollection,
    add_part,
    build_collection,
)
from wisteriagw.checkpoints._due import is_checkpoint_due
from wisteriagw.checkpoints._parts import split_state
from wisteriagw.checkpoints._retention import Retention
from wisteriagw.checkpoints._retention_options import (
    RETENTION_OPTIONS,
    build_retention,
)

__all__ = [
    "RETENTION_OPTIONS",
    "Checkpoint",
    "CheckpointCodec",
    "CheckpointProgress",
    "PartCollection",
    "Retention",
    "add_part",
    "build_collection",
    "build_retention",
    "choose_checkpoint",
    "is_checkpoint_due",
    "split_state",
]
