"""Receipt of news of the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._deltas import Deltas
from wisteriagw.gateway._vouching import take_vouched_reads
from wisteriagw.messages import (
    CachedPartsTransfer,
    FleetUpdate,
    GatewayUpdate,
    RelayUpdate,
)
from wisteriagw.platform import StoreRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._greetings import Greetings
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._relay_queues import RelayQueues
    from wisteriagw.gateway._relay_ties import RelayTies
    from wisteriagw.gateway._sent_news import SentNews
    from wisteriagw.gateway._usage_copies import UsageCopies
    from wisteriagw.mesh import Mesh

# Name of the work of all other VMs, as a relay sums it up.
FLEET = "all VMs"


class NewsReceiver:
    """Takes the messages of the mesh, and passes rows on if this VM is a relay."""

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        ties: RelayTies,
        queues: RelayQueues,
        sent: SentNews,
        copies: UsageCopies,
        greetings: Greetings,
    ) -> None:
        self._context = context
        self._reactor: Any = context.reactor
        self._members = members
        self._ties = ties
        self._queues = queues
        self._sent = sent
        self._copies = copies
        self._greetings = greetings
        self._vm = context.settings.vm
        self._data_centre = context.settings.data_centre
        mesh.subscribe(GatewayUpdate, self._take_gateway_news)
        mesh.subscribe(RelayUpdate, self._take_relay_news)
        mesh.subscribe(FleetUpdate, self._take_fleet_news)
        mesh.subscribe(CachedPartsTransfer, self._take_parts_news)

    def note_parts(
        self, server: str, parts: Iterable[tuple[str, int]]
    ) -> list[tuple[str, int]]:
        """Take parts that an engine keeps and return those that are new."""
        known = self._context.fleet.fleet.servers.get(server)
        table = self._context.configuration.table
        service = table.services.get(known.service) if known and table else None
        if service is None or service.engine is None:
            return []
        capacity = service.engine.capacity_tokens
        return self._context.work.parts.note_use(server, parts, capacity)

    def _take_gateway_news(self, sender: str, news: GatewayUpdate) -> None:
        now = self._reactor.seconds()
        entry = self._members.entries.get(sender)
        if entry is None or entry.data_centre != self._data_centre:
            # Its entry is read soon; until then nothing tells where it runs.
            return
        self._ties.note_member(sender, news.sequence, now)
        self._members.note_heard(sender, news.ready, now)
        self._members.note_started(sender, now - news.uptime)
        self._context.work.note_peer(sender, news.work, now)
        self._copies.take(sender, news.incarnation, news.usage, now)
        self._greetings.note_process(sender, news.incarnation)
        self._queues.for_relays.add(self._pass_on(news, now))

    def _take_relay_news(self, sender: str, news: RelayUpdate) -> None:
        now = self._reactor.seconds()
        self._ties.note_relay(sender, news.chosen, now)
        self._take_heard(news.heard, now)
        self._members.note_started(sender, now - news.uptime)
        if news.data_centre != self._data_centre:
            key = f"data centre {news.data_centre}"
            self._context.work.note_peer(key, news.work, now)
        self._copies.take(sender, news.incarnation, news.usage, now)
        self._greetings.note_process(sender, news.incarnation)
        self._pass_on(news, now)

    def _take_fleet_news(self, sender: str, news: FleetUpdate) -> None:
        now = self._reactor.seconds()
        self._ties.watch.note_heard(sender, now)
        links = self._ties.links
        if links.acting or sender not in links.relays:
            return
        self._take_heard(news.heard, now)
        self._members.note_started(sender, now - news.uptime)
        found = self._sent.find(news.received)
        own = found[0].work if found else self._context.work.list_own()
        self._context.work.note_peer(FLEET, subtract_work(news.work, own), now)
        if sender == links.relays[0]:
            self._apply(news, now)
        self._context.fleet.take_told(
            StoreRecord(offset, server, value) for offset, server, value in news.entries
        )
        if found:
            message, held = found
            take_vouched_reads(self._context, news, message.at + held)

    def _take_parts_news(self, sender: str, news: CachedPartsTransfer) -> None:
        for server, part, tokens in news.parts:
            self.note_parts(server, ((part, tokens),))
        self._queues.for_members.add_parts(news.parts)

    def _take_heard(self, rows: Iterable[tuple], now: float) -> None:
        for vm, ready, age in rows:
            self._members.note_heard(vm, ready, now - age)

    def _pass_on(self, news: GatewayUpdate | RelayUpdate, now: float) -> Deltas:
        """Apply the rows of a message and keep them for the VMs that are served."""
        deltas = self._apply(news, now)
        self._queues.for_members.add(deltas)
        return deltas

    def _apply(
        self, news: GatewayUpdate | RelayUpdate | FleetUpdate, now: float
    ) -> Deltas:
        deltas = Deltas(news.parts, news.away, news.results)
        work = self._context.work
        for server, failures, answers, origin in deltas.results:
            if origin != self._vm:
                work.note_results(server, failures, answers, now)
        for server, seconds in deltas.away:
            work.note_away(server, now + seconds)
        for server, part, tokens in deltas.parts:
            self.note_parts(server, ((part, tokens),))
        return deltas


def subtract_work(total: Iterable[tuple], part: Iterable[tuple]) -> list[tuple]:
    """Return rows of backend server, tokens and streams without a part of them."""
    own = {server: (tokens, streams) for server, tokens, streams in part}
    rows = []
    for server, tokens, streams in total:
        own_tokens, own_streams = own.get(server, (0.0, 0.0))
        rows.append(
            (server, max(0.0, tokens - own_tokens), max(0.0, streams - own_streams))
        )
    return rows
