"""Stand-ins for the platform, for the demo and the tests."""

from __future__ import annotations

from wisteriagw.standins._programs import (
    PROGRAM_OPTIONS,
    run_backends,
    run_engine,
    run_log,
    run_platform,
    run_service,
    run_usage,
    run_vm_list,
)
from wisteriagw.standins._topic_store import TopicStore

__all__ = [
    "PROGRAM_OPTIONS",
    "TopicStore",
    "run_backends",
    "run_engine",
    "run_log",
    "run_platform",
    "run_service",
    "run_usage",
    "run_vm_list",
]
