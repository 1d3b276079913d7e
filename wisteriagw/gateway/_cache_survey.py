"""Knowledge of prompt parts after a start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from wisteriagw.gateway._background import start_background
from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.gateway._members import Members
    from wisteriagw.platform import EngineClient

logger = logging.getLogger(__name__)

# By then the other processes are heard, and one that was running before has told what
# it knows.
WAIT_SECONDS = 0.8
# Processes that started within this time know no more than this one.
SAME_START_SECONDS = 3.0


class CacheSurvey:
    """Asks engines for their parts when no VM knows them, as after the loss of all.

    Each engine is asked by one VM, which tells the others.
    """

    def __init__(
        self,
        reactor: Any,
        engines: EngineClient,
        fleet: FleetFeed,
        members: Members,
        own_vm: str,
        note_parts: Callable[[BackendServer, list[tuple[str, int]]], None],
    ) -> None:
        self._reactor = reactor
        self._engines = engines
        self._fleet = fleet
        self._members = members
        self._started_at = reactor.seconds()
        self._own_vm = own_vm
        self._note_parts = note_parts

    def start(self) -> None:
        """Run once in the background."""
        start_background(self.run(), "the survey of parts")

    async def run(self) -> None:
        """Ask those engines that fall to this VM."""
        await deferLater(self._reactor, WAIT_SECONDS)
        now = self._reactor.seconds()
        earliest = self._members.find_earliest_start(now)
        if earliest < self._started_at - SAME_START_SECONDS:
            return
        vms = self._members.list_heard(now)
        for server in list(self._fleet.fleet.servers.values()):
            if not server.stage:
                continue
            if rank_names(server.name, vms)[0] != self._own_vm:
                continue
            parts = await self._engines.list_parts(server.address)
            logger.info("engine %s keeps %d prompt parts", server.name, len(parts))
            self._note_parts(server, parts)
