"""Wiring of the dispatcher to load reports and to other entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.task import LoopingCall

from wisteriagw.entry._report_reader import ReportReader
from wisteriagw.exchange import WorkExchange
from wisteriagw.messages import WorkReport

if TYPE_CHECKING:
    from wisteriagw.entry._entry_context import EntryContext

EXCHANGE_SECONDS = 1.0


def start_load_exchange(context: EntryContext) -> None:
    """Start the periodic update of the load estimates of an entry process."""
    exchange = WorkExchange(
        context.dispatch.dispatcher,
        context.membership,
        context.clock,
        context.send_message,
    )
    reader = ReportReader(context, exchange)
    if context.mesh is not None:
        context.mesh.subscribe(WorkReport, exchange.handle)

    def run_cycle() -> None:
        context.dispatch.sample_demand()
        exchange.tick()
        reader.read_all()

    LoopingCall(run_cycle).start(EXCHANGE_SECONDS)
