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

    def __init__(self, access: ServerAccess, backup: BackendServer) -> None:
        self._access = access
        self._backup = backup

    def get_backup_copy(self) -> RunCopy:
        """Return the copy that the backup keeps of a run that has ended."""
        source = (self._backup.address, self._access.caller.request_id)
        return RunCopy(self._backup, source)

    async def stop(self, server: BackendServer) -> RunCopy | None:
        """Return where the run can go on, or None if it may go on at its engine."""
        copy, evidence = await self._stop(server)
        self._access.context.log.write(
            "lost_run",
            request_id=self._access.caller.request_id,
            server=server.name,
            ended=copy is not None,
            evidence=evidence,
            goes_on_at=copy.server.name if copy is not None else "",
        )
        return copy

    async def _stop(self, server: BackendServer) -> tuple[RunCopy | None, str]:
        access = self._access
        engine = access.service.engine
        if engine is None or not engine.moves_runs:
            return await self._check(server)
        outcome = await access.context.engines.stop_run(
            server, access.caller.request_id, self._backup.address
        )
        if isinstance(outcome, FailedNotRun):
            return await self._check(server)
        return locate_run(outcome, server, self.get_backup_copy())

    async def _check(self, server: BackendServer) -> tuple[RunCopy | None, str]:
        """Take an engine that accepts no connection for ended."""
        found = await self._access.context.pool.probe(server.address)
        ended = found is not Reachability.OPEN
        return self.get_backup_copy() if ended else None, found.value


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
