"""Load reports and served work that entry VMs exchange, without I/O."""

from __future__ import annotations

from wisteriagw.exchange._observed_load import ObservedLoad, observe_load
from wisteriagw.exchange._ownership import OWNERS, READ_ALL, list_owned
from wisteriagw.exchange._work_exchange import ROWS_PER_SECOND, WorkExchange

__all__ = [
    "OWNERS",
    "READ_ALL",
    "ROWS_PER_SECOND",
    "ObservedLoad",
    "WorkExchange",
    "list_owned",
    "observe_load",
]
