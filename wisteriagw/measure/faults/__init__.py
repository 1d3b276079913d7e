"""Faults that scenarios inject."""

from __future__ import annotations

from wisteriagw.measure.faults._drain_fault import DrainFault
from wisteriagw.measure.faults._log_fault import LogFault
from wisteriagw.measure.faults._partition_fault import PartitionFault
from wisteriagw.measure.faults._reclaim_fault import ReclaimFault
from wisteriagw.measure.faults._report_fault import ReportFault

__all__ = ["ReclaimFault", "DrainFault", "LogFault", "PartitionFault", "ReportFault"]
