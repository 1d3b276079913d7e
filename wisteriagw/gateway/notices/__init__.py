"""Notices of backend servers: what this VM knows, and its exchange with the others."""

from __future__ import annotations

from wisteriagw.gateway.notices._notice_board import NoticeBoard
from wisteriagw.gateway.notices._notice_queue import NoticeQueue
from wisteriagw.gateway.notices._request_notices import RequestNotices

__all__ = ["NoticeBoard", "NoticeQueue", "RequestNotices"]
