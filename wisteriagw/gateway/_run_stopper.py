"""End of a run whose answer was lost, before the run goes on at another engine."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.connections import Reachability
from wisteriagw.fleet import BackendServer
from wisteriagw.gateway._run_copy import RunCopy
from wisteriagw.outcomes import Done, FailedNotRun
from wisteriagw.platform import decode_stopped_run, reports_no_run

if TYPE_CHECKING:
    from wisteriagw.gateway._server_access import ServerAccess


class RunStopper:
    """Makes sure that an engine no longer works on a run whose answer it lost.

    An engine may run on after its connection was closed. It is asked to stop the run;
    if it does not confirm the stop, the run counts as going on.
    """

    def __init__(self, access: ServerAccess) -> None:
        self._access = access

    async def stop(
        self, server: BackendServer, backup: BackendServer
    ) -> RunCopy | None:
        """Return where the run can go on, or None if it may go on at its engine."""
        copy, evidence = await self._stop(server, backup)
        self._access.context.log.write(
            "lost_run",
            request_id=self._access.caller.request_id,
            server=server.name,
            ended=copy is not None,
            evidence=evidence,
            goes_on_at=copy.server.name if copy is not None else "",
        )
        return copy

    async def _stop(
        self, server: BackendServer, backup: BackendServer
    ) -> tuple[RunCopy | None, str]:
        context, request_id = self._access.context, self._access.caller.request_id
        kept = RunCopy(backup, (backup.address, request_id))
        engine = self._access.service.engine
        if engine is None or not engine.moves_runs:
            return await self._check(server, kept)
        outcome = await context.engines.stop_run(server, request_id, backup.address)
        if isinstance(outcome, FailedNotRun):
            return await self._check(server, kept)
        return locate_run(outcome, server, kept)

    async def _check(
        self, server: BackendServer, kept: RunCopy
    ) -> tuple[RunCopy | None, str]:
        """Take an engine that accepts no connection for ended."""
        found = await self._access.context.pool.probe(server.address)
        return None if found is Reachability.OPEN else kept, found.value


@singledispatch
def locate_run(
    outcome: Any, server: BackendServer, kept: RunCopy
) -> tuple[RunCopy | None, str]:
    """Return where a run can go on after the order to stop it, and the evidence.

    Parameters
    ----------
    outcome : Done or MayHaveRun
        Outcome of the order.
    server : BackendServer
        Engine that got it.
    kept : RunCopy
        Copy that the backup keeps.
    """
    return None, str(outcome)


@locate_run.register
def _(
    outcome: Done, server: BackendServer, kept: RunCopy
) -> tuple[RunCopy | None, str]:
    evidence = f"status {outcome.status}"
    if reports_no_run(outcome):
        return kept, evidence
    stopped = decode_stopped_run(outcome)
    if stopped is None:
        return None, evidence
    handle, moved = stopped
    # Without room at the backup, the run can go on only where it was stopped.
    place = kept.server if moved else server
    return RunCopy(place, (server.address, handle)), evidence
