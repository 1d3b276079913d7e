"""Sums of state rows over all VMs."""

from __future__ import annotations

from wisteriagw.sums._sum_table import ALL_VMS_KEY, SumTable, subtract_rows

__all__ = ["ALL_VMS_KEY", "SumTable", "subtract_rows"]
