"""Clients of the platform's interfaces."""

from __future__ import annotations

from wisteriagw.platform._backends_client import BackendsClient
from wisteriagw.platform._backends_unavailable import BackendsUnavailableError
from wisteriagw.platform._http_log_client import HttpLogClient
from wisteriagw.platform._log_client import LogClient
from wisteriagw.platform._log_page import LogPage
from wisteriagw.platform._log_record import LogRecord
from wisteriagw.platform._log_unavailable import LogUnavailableError
from wisteriagw.platform._usage_client import UsageClient
from wisteriagw.platform._usage_unavailable import UsageUnavailableError
from wisteriagw.platform._vm_entry import VmEntry
from wisteriagw.platform._vm_list_client import VmListClient
from wisteriagw.platform._vm_list_unavailable import VmListUnavailableError

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
