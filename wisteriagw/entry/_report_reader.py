"""Reader of the load of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.exchange import list_assigned_engines, parse_engine_load
from wisteriagw.jsondata import load_json
from wisteriagw.outcomes import Done
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.config import BackendServerRow
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.exchange import WorkExchange

READ_TIMEOUT_SECONDS = 2.0
# A VM to which a few hundred engines are assigned, after the loss of most entry VMs,
# still completes a cycle.
MAX_OPEN_READS = 64


class ReportReader:
    """Reads the load of the engines that are assigned to this VM, once a second.

    A read without a response changes nothing: the load estimate of the engine continues
    by the age of its last report.
    """

    def __init__(self, context: EntryContext, exchange: WorkExchange) -> None:
        self._context = context
        self._exchange = exchange
        self._open: set[str] = set()
        self._rotation = 0

    def read_all(self) -> list[Deferred[None]]:
        """Start a read of each assigned engine without a read in progress."""
        context = self._context
        rows = list_assigned_engines(
            context.config.sheet["backend_servers"],
            context.membership.state,
            context.clock(),
        )
        # With more engines than the bound, the reads rotate through them.
        start = self._rotation % max(1, len(rows))
        self._rotation += MAX_OPEN_READS if len(rows) > MAX_OPEN_READS else 0
        reads = []
        for row in rows[start:] + rows[:start]:
            if len(self._open) >= MAX_OPEN_READS:
                break
            if row["name"] not in self._open:
                reads.append(self._read(row))
        return reads

    @inlineCallbacks
    def _read(self, row: BackendServerRow) -> Generator[Deferred[Any], Any, None]:
        context, name = self._context, row["name"]
        self._open.add(name)
        sent_at = context.clock()
        try:
            outcome = yield context.client.send(
                parse_value(AddressKind(), row["address"]),
                "GET",
                "/load",
                timeout=READ_TIMEOUT_SECONDS,
            )
        finally:
            self._open.discard(name)
        observed = parse_engine_load(name, read_fields(outcome), sent_at)
        if observed is None:
            return
        if observed.leaving:
            context.membership.merge_departures([(name, 0)])
        context.dispatch.dispatcher.table.apply_report(observed.report)
        self._exchange.record_report(observed.report)


def read_fields(outcome: Any) -> dict[str, Any]:
    """Return the JSON object of a response, empty without one."""
    if not isinstance(outcome, Done) or outcome.status != 200:
        return {}
    try:
        fields = load_json(outcome.body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
