"""Load reports and served work that entry VMs exchange, without I/O."""

from __future__ import annotations

from wisteriagw.exchange._engine_load import EngineLoad, parse_engine_load
from wisteriagw.exchange._reader_assignment import (
    READERS_PER_ENGINE,
    SMALL_FLEET_SERVERS,
    list_assigned_engines,
)
from wisteriagw.exchange._work_exchange import ROWS_PER_SECOND, WorkExchange

__all__ = [
    "READERS_PER_ENGINE",
    "ROWS_PER_SECOND",
    "SMALL_FLEET_SERVERS",
    "EngineLoad",
    "WorkExchange",
    "list_assigned_engines",
    "parse_engine_load",
]
