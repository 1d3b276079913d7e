"""Survey of the prompt parts that engines cache, after a start."""

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

# By then updates from the other processes have arrived, and the initial state from one
# that was already running.
WAIT_SECONDS = 0.8
# Processes that started within this time of each other know equally little.
SAME_START_SECONDS = 3.0


class CacheSurvey:
    """Queries engines for their parts when no VM knows them, as after a full restart.

    Each engine is queried by one VM, which sends the result to the others.
    """

    def __init__(
        self,
        reactor: Any,
        engines: EngineClient,
        fleet: FleetFeed,
        members: Members,
        own_vm: str,
        record_parts: Callable[[BackendServer, list[tuple[str, int]]], None],
    ) -> None:
        self._reactor = reactor
        self._engines = engines
        self._fleet = fleet
        self._members = members
        self._started_at = reactor.seconds()
        self._own_vm = own_vm
        self._record_parts = record_parts

    def start(self) -> None:
        """Start the survey in the background."""
        start_background(self.run(), "survey of cached prompt parts")

    async def run(self) -> None:
        """Query the engines that are assigned to this VM."""
        await deferLater(self._reactor, WAIT_SECONDS)
        now = self._reactor.seconds()
        earliest = self._members.find_earliest_start(now)
        if earliest < self._started_at - SAME_START_SECONDS:
            return
        vms = self._members.list_alive(now)
        for server in list(self._fleet.fleet.servers.values()):
            if not server.stage:
                continue
            if rank_names(server.name, vms)[0] != self._own_vm:
                continue
            parts = await self._engines.list_parts(server.address)
            logger.info("engine %s caches %d prompt parts", server.name, len(parts))
            self._record_parts(server, parts)
