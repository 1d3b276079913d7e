"""Fakes that several tests share."""

from __future__ import annotations

from tests.support._body_recorder import BodyRecorder
from tests.support._held_log import HeldLog
from tests.support._loopback_fleet import LoopbackFleet
from tests.support._memory_log import MemoryLog
from tests.support._scripted_engine import ScriptedEngine
from tests.support._scripted_peer import ScriptedPeer
from tests.support._virtual_clock import VirtualClock

__all__ = [
    "BodyRecorder",
    "HeldLog",
    "LoopbackFleet",
    "MemoryLog",
    "ScriptedEngine",
    "ScriptedPeer",
    "VirtualClock",
]
