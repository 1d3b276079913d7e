"""Notices that backend servers give of themselves, as known to all VMs."""

from __future__ import annotations

from wisteriagw.notices._departure import Departure
from wisteriagw.notices._listing import list_notices
from wisteriagw.notices._notice_table import NoticeTable
from wisteriagw.notices._pause import Pause
from wisteriagw.notices._rate_limit import RateLimit
from wisteriagw.notices._server_condition import ServerCondition

__all__ = [
    "Departure",
    "NoticeTable",
    "Pause",
    "RateLimit",
    "ServerCondition",
    "list_notices",
]
