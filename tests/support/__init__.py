"""Fakes that several tests share."""

from __future__ import annotations

from tests.support._memory_log import MemoryLog
from tests.support._operator_calls import OperatorCalls
from tests.support._virtual_clock import VirtualClock

__all__ = ["MemoryLog", "OperatorCalls", "VirtualClock"]
