"""Shares of a VM in the rates of requests that backend servers take."""

from __future__ import annotations

from wisteriagw.ratelimits._demand import Demand, add_sample
from wisteriagw.ratelimits._share import VmCounts, find_share
from wisteriagw.ratelimits._token_bucket import TokenBucket

__all__ = ["Demand", "TokenBucket", "VmCounts", "add_sample", "find_share"]
