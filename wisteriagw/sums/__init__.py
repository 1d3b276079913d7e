"""Sums of state rows over all VMs."""

from __future__ import annotations

from wisteriagw.sums._sum_table import SumTable, subtract_rows

__all__ = ["SumTable", "subtract_rows"]
