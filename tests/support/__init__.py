"""Fakes that several tests share."""

from __future__ import annotations

from tests.support._body_recorder import BodyRecorder
from tests.support._fake_platform import FakePlatform
from tests.support._held_log import HeldLog
from tests.support._lease_process import LeaseProcess
from tests.support._loopback_fleet import LoopbackFleet
from tests.support._memory_log import MemoryLog
from tests.support._operator_calls import OperatorCalls
from tests.support._recording_store import RecordingStore
from tests.support._scripted_engine import ScriptedEngine
from tests.support._scripted_peer import ScriptedPeer
from tests.support._simulated_mesh import SimulatedMesh
from tests.support._usage_vms import UsageVms
from tests.support._virtual_clock import VirtualClock

__all__ = [
    "BodyRecorder",
    "FakePlatform",
    "HeldLog",
    "LeaseProcess",
    "LoopbackFleet",
    "MemoryLog",
    "OperatorCalls",
    "RecordingStore",
    "ScriptedEngine",
    "ScriptedPeer",
    "SimulatedMesh",
    "UsageVms",
    "VirtualClock",
]
