"""Reports that VMs send each other at once, beside the periodic updates."""

from __future__ import annotations

from wisteriagw.gateway.reports._report_exchange import (
    SEND_DELAY_SECONDS,
    ReportExchange,
)

__all__ = ["SEND_DELAY_SECONDS", "ReportExchange"]
