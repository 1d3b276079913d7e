"""Sending of news to the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._deltas import Deltas
from wisteriagw.messages import FleetUpdate, GatewayUpdate, RelayUpdate

if TYPE_CHECKING:
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._relay_queues import RelayQueues
    from wisteriagw.gateway._relay_ties import RelayTies
    from wisteriagw.gateway._sent_news import SentNews
    from wisteriagw.mesh import Mesh
    from wisteriagw.relays import Links

# Seconds from one list of the VMs that are heard to the next; others are left out.
LIST_SECONDS = 0.3


class NewsSender:
    """Builds the messages of a VM and, if it is a relay, those for others."""

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        ties: RelayTies,
        queues: RelayQueues,
        sent: SentNews,
        incarnation: str,
        is_ready: Any,
    ) -> None:
        settings = context.settings
        self._context = context
        self._started_at = context.reactor.seconds()
        self._mesh = mesh
        self._members = members
        self._ties = ties
        self._queues = queues
        self._sent = sent
        self._incarnation = incarnation
        self._is_ready = is_ready
        self._vm = settings.vm
        self._data_centre = settings.data_centre
        self._listed_at = float("-inf")

    def send(self, links: Links, now: float) -> None:
        """Send what has changed since the last messages."""
        deltas = self._take_own_deltas(now)
        usage = self._context.news.take_usage(now)
        if links.acting:
            self._queues.for_relays.add(deltas)
            self._queues.for_members.add(deltas)
            earliest = self._members.find_earliest_start(now)
            oldest = now - min(self._started_at, earliest)
            self._tell_relays(links, usage, oldest, now)
            self._tell_members(links, oldest, now)
            deltas = Deltas()
        else:
            # What is told is read from the register by relays only.
            self._context.fleet.take_changes()
        self._tell_own_relays(links, deltas, usage, now)

    def _take_own_deltas(self, now: float) -> Deltas:
        context = self._context
        results = context.work.take_results(now)
        deltas = context.news.queue.take()
        return deltas._replace(results=tuple((*row, self._vm) for row in results))

    def _tell_own_relays(
        self, links: Links, deltas: Deltas, usage: tuple, now: float
    ) -> None:
        work = tuple(self._context.work.list_own())
        sequence = self._sent.add(work, now)
        if not links.relays:
            return
        news = GatewayUpdate(
            self._is_ready(),
            work,
            incarnation=self._incarnation,
            uptime=now - self._started_at,
            usage=usage,
            sequence=sequence,
        )
        # Only one relay passes the rest on, so that nothing is counted twice.
        self._mesh.send(links.relays[0], news._replace(**deltas._asdict()))
        self._mesh.multicast(links.relays[1:], news)

    def _tell_relays(
        self, links: Links, usage: tuple, oldest: float, now: float
    ) -> None:
        served = self._ties.list_served(now)
        news = RelayUpdate(
            self._data_centre,
            True,
            self._incarnation,
            oldest,
            self._list_near(served, now) if self._is_list_due(now) else (),
            tuple(self._context.work.sum_work(now, served)),
            *self._queues.for_relays.take(),
            usage=() if links.relays else usage,
        )
        self._mesh.multicast(links.chosen, news)
        self._mesh.multicast(links.speakers, news._replace(chosen=False))

    def _tell_members(self, links: Links, oldest: float, now: float) -> None:
        deltas = self._queues.for_members.take()
        changes = self._context.fleet.take_changes()
        list_due = self._is_list_due(now)
        if list_due:
            self._listed_at = now
        if not links.members:
            return
        table = self._context.configuration.table
        read_at = self._context.fleet.follower.read_at
        served = self._ties.served
        news = FleetUpdate(
            oldest,
            tuple(
                (vm, served[vm].sequence, now - served[vm].at) for vm in links.members
            ),
            0 if table is None else table.version,
            self._context.configuration.get_age(),
            self._context.fleet.compute_digest(),
            now - read_at,
            tuple(tuple(record) for record in changes),
            tuple(self._members.list_ages(now, self._is_ready())) if list_due else (),
            tuple(self._context.work.sum_work(now)),
            *deltas,
        )
        self._mesh.multicast(links.members, news)

    def _is_list_due(self, now: float) -> bool:
        return now - self._listed_at >= LIST_SECONDS

    def _list_near(self, served: list[str], now: float) -> tuple:
        near = {self._vm, *served}
        return tuple(
            row
            for row in self._members.list_ages(now, self._is_ready())
            if row[0] in near
        )
