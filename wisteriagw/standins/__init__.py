"""Stand-ins for the platform, for the demo and the tests."""

from __future__ import annotations

from wisteriagw.standins._programs import (
    run_backends,
    run_engine,
    run_log,
    run_service,
    run_vm_list,
)

__all__ = ["run_backends", "run_engine", "run_log", "run_service", "run_vm_list"]
