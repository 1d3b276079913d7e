"""Fakes that several tests share."""

from __future__ import annotations

from tests.support._memory_log import MemoryLog
from tests.support._simulated_mesh import SimulatedMesh
from tests.support._virtual_clock import VirtualClock

__all__ = ["MemoryLog", "SimulatedMesh", "VirtualClock"]
