"""Validation of the rows of a work report."""

from __future__ import annotations

import math
from typing import Any


def parse_served_work(rows: tuple) -> dict[str, dict[str, float]]:
    """Return the served work of a peer; rows that are not valid are left out."""
    served: dict[str, dict[str, float]] = {}
    for row in rows:
        if len(row) != 3 or not is_finite_number(row[2]):
            continue
        serves, customer, work = row
        served.setdefault(serves, {})[customer] = float(work)
    return served


def parse_loads(rows: tuple) -> dict[str, tuple[float, int]]:
    """Return the outstanding work of a peer by backend server."""
    loads = {}
    for row in rows:
        if len(row) != 3 or not (is_finite_number(row[1]) and is_finite_number(row[2])):
            continue
        server, tokens, streams = row
        loads[server] = (max(0.0, float(tokens)), max(0, int(streams)))
    return loads


def is_finite_number(value: Any) -> bool:
    """Return whether a value is a finite number; NaN would corrupt every later sum."""
    return isinstance(value, (int, float)) and math.isfinite(value)
