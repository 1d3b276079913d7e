"""Outcomes of one attempt at a backend server, each a type of its own."""

from __future__ import annotations

from wisteriagw.outcomes._answering import Answering
from wisteriagw.outcomes._done import Done
from wisteriagw.outcomes._failed_not_run import FailedNotRun
from wisteriagw.outcomes._may_have_run import MayHaveRun
from wisteriagw.outcomes._refused_not_run import RefusedNotRun

Outcome = Done | RefusedNotRun | FailedNotRun | MayHaveRun

__all__ = [
    "Answering",
    "Done",
    "FailedNotRun",
    "MayHaveRun",
    "Outcome",
    "RefusedNotRun",
]
