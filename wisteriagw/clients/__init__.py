"""Clients of the log, the VM list, and the usage and backend server interfaces."""

from __future__ import annotations

from wisteriagw.clients._backends_client import BackendsClient
from wisteriagw.clients._backends_unavailable import BackendsUnavailableError
from wisteriagw.clients._http_log_client import HttpLogClient
from wisteriagw.clients._log_client import LogClient
from wisteriagw.clients._log_page import LogPage
from wisteriagw.clients._log_record import LogRecord
from wisteriagw.clients._log_unavailable import LogUnavailableError
from wisteriagw.clients._usage_client import UsageClient
from wisteriagw.clients._usage_unavailable import UsageUnavailableError
from wisteriagw.clients._vm_entry import VmEntry
from wisteriagw.clients._vm_list_client import VmListClient
from wisteriagw.clients._vm_list_unavailable import VmListUnavailableError

__all__ = [
    "BackendsClient",
    "BackendsUnavailableError",
    "HttpLogClient",
    "LogClient",
    "LogPage",
    "LogRecord",
    "LogUnavailableError",
    "UsageClient",
    "UsageUnavailableError",
    "VmEntry",
    "VmListClient",
    "VmListUnavailableError",
]
