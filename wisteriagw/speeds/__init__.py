"""Speed of each backend server, relative to the others of its service."""

from __future__ import annotations

from wisteriagw.speeds._baseline import Baseline, update_baseline
from wisteriagw.speeds._service_speeds import find_log_speeds, limit_speed
from wisteriagw.speeds._speed_estimate import SpeedEstimate, add_sample, decay
from wisteriagw.speeds._speed_sample import SpeedSample
from wisteriagw.speeds._speed_table import SpeedTable

__all__ = [
    "Baseline",
    "SpeedEstimate",
    "SpeedSample",
    "SpeedTable",
    "add_sample",
    "decay",
    "find_log_speeds",
    "limit_speed",
    "update_baseline",
]
