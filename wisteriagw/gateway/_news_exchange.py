"""Exchange of news with the other VMs."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._delta_queue import DeltaQueue
from wisteriagw.gateway._deltas import Deltas
from wisteriagw.gateway._greetings import Greetings
from wisteriagw.gateway._members import HEARD_SECONDS
from wisteriagw.gateway._relay_ties import PATIENCE_SECONDS, RelayTies
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS
from wisteriagw.gateway._vouching import set_hold, set_waits, take_vouched_reads
from wisteriagw.messages import FleetNews, GatewayNews, PartsNews, RelayNews
from wisteriagw.platform import StoreRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._usage_copies import UsageCopies
    from wisteriagw.mesh import Mesh
    from wisteriagw.relays import Links

NEWS_SECONDS = 0.1
# Above this many peers each sends more rarely, so that the messages that a relay gets
# in a second stay the same.
PEERS_AT_FULL_RATE = 12
# Work of a peer counts while not more than so many of its messages are missing.
PEER_WORK_INTERVALS = 5.0
# A peer is silent after so many intervals; a VM is up while it was heard within so
# many, by the three steps from a VM through two relays to another one.
PATIENCE_INTERVALS = 3.0
HEARD_INTERVALS = 8.0
# Seconds from one list of the VMs that are heard to the next; others are left out.
LIST_SECONDS = 0.3
# Own messages whose time and rows are kept for the answers of the relays.
KEPT_MESSAGES = 32
FLEET = "all VMs"


class NewsExchange:
    """Tells the other VMs what this one does and learns the same from them.

    Each VM sends to two relays of its data centre. Relays exchange sums with those of
    the other data centres and tell the VMs of their own.

    Parameters
    ----------
    is_ready : callable
        Whether callers shall use this VM.
    """

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        copies: UsageCopies,
        incarnation: str,
        is_ready: Any,
    ) -> None:
        settings = context.settings
        self._context = context
        self._reactor: Any = context.reactor
        self._started_at = context.reactor.seconds()
        self._mesh = mesh
        self._members = members
        self._copies = copies
        self._incarnation = incarnation
        self._is_ready = is_ready
        self._vm = settings.vm
        self._data_centre = settings.data_centre
        self._ties = RelayTies(mesh, members, (settings.vm, settings.data_centre))
        self._greetings = Greetings(mesh, self._ties, context.work.parts)
        self._for_relays = DeltaQueue()
        self._for_members = DeltaQueue()
        self._sequence = 0
        # Time and work rows of own messages by their number.
        self._sent: OrderedDict[int, tuple[float, tuple]] = OrderedDict()
        self._listed_at = float("-inf")
        set_hold(context)
        mesh.subscribe(GatewayNews, self._take_gateway_news)
        mesh.subscribe(RelayNews, self._take_relay_news)
        mesh.subscribe(FleetNews, self._take_fleet_news)
        mesh.subscribe(PartsNews, self._take_parts_news)

    @property
    def links(self) -> Links:
        """Peers of this VM."""
        return self._ties.links

    def start(self) -> None:
        """Send now and again after each interval."""
        self.send()
        interval = find_news_interval(self._count_peers())
        self._context.work.spread_seconds = interval - NEWS_SECONDS
        self._context.work.peer_work_seconds = PEER_WORK_INTERVALS * interval
        patience = max(PATIENCE_SECONDS, PATIENCE_INTERVALS * interval)
        self._ties.watch.patience = patience
        self._members.heard_seconds = max(HEARD_SECONDS, HEARD_INTERVALS * interval)
        self._reactor.callLater(interval, self.start)

    def send(self) -> None:
        """Send what has changed since the last message."""
        now = self._reactor.seconds()
        links = self._ties.update(now)
        set_waits(self._context, bool(links.members))
        self._members.set_acting(links.acting)
        deltas = self._take_own_deltas(now)
        usage = self._context.news.take_usage(now)
        if links.acting:
            self._for_relays.add(deltas)
            self._for_members.add(deltas)
            self._tell_relays(links, usage, now)
            self._tell_members(links, now)
            deltas = Deltas()
        else:
            # What is told is read from the register by relays only.
            self._context.fleet.take_changes()
        self._tell_own_relays(links, deltas, usage, now)
        self._greetings.send()

    def announce_away(self, server: str, seconds: float) -> None:
        """Keep requests of all VMs from a server for some seconds."""
        self._context.work.note_away(server, self._reactor.seconds() + seconds)
        self._context.news.note_away(server, seconds)
        self.send()

    def take_survey(
        self, server: BackendServer, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Take what an engine says that it keeps, and tell the others."""
        added = self._note_parts(server.name, parts)
        self._context.news.note_parts(server.name, added)

    def get_copies(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a usage window by process, the own included."""
        rows = self._context.usage.list_rows(KEPT_WINDOWS)
        own = {customer: count for of, customer, count in rows if of == window}
        self._copies.prune(window)
        return {**self._copies.get(window), self._incarnation: own}

    def _count_peers(self) -> int:
        near = sum(
            member.data_centre == self._data_centre
            for member in self._members.entries.values()
        )
        return near + len(self._ties.links.chosen)

    def _take_own_deltas(self, now: float) -> Deltas:
        context = self._context
        results = context.work.take_results(now)
        deltas = context.news.queue.take()
        return deltas._replace(results=tuple((*row, self._vm) for row in results))

    def _tell_own_relays(
        self, links: Links, deltas: Deltas, usage: tuple, now: float
    ) -> None:
        self._sequence += 1
        work = tuple(self._context.work.list_own())
        self._sent[self._sequence] = (now, work)
        if len(self._sent) > KEPT_MESSAGES:
            self._sent.popitem(last=False)
        if not links.relays:
            return
        news = GatewayNews(
            self._is_ready(),
            work,
            incarnation=self._incarnation,
            uptime=now - self._started_at,
            usage=usage,
            sequence=self._sequence,
        )
        # Only one relay passes the rest on, so that nothing is counted twice.
        self._mesh.send(links.relays[0], news._replace(**deltas._asdict()))
        self._mesh.multicast(links.relays[1:], news)

    def _tell_relays(self, links: Links, usage: tuple, now: float) -> None:
        served = self._ties.list_served(now)
        news = RelayNews(
            self._data_centre,
            True,
            self._incarnation,
            now - self._find_oldest_start(now),
            self._list_near(served, now) if self._is_list_due(now) else (),
            tuple(self._context.work.sum_work(now, served)),
            *self._for_relays.take(),
            usage=() if links.relays else usage,
        )
        self._mesh.multicast(links.chosen, news)
        self._mesh.multicast(links.speakers, news._replace(chosen=False))

    def _tell_members(self, links: Links, now: float) -> None:
        deltas = self._for_members.take()
        changes = self._context.fleet.take_changes()
        list_due = self._is_list_due(now)
        if list_due:
            self._listed_at = now
        if not links.members:
            return
        table = self._context.configuration.table
        read_at = self._context.fleet.follower.read_at
        served = self._ties.served
        news = FleetNews(
            now - self._find_oldest_start(now),
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

    def _find_oldest_start(self, now: float) -> float:
        return min(self._started_at, self._members.find_earliest_start(now))

    def _take_gateway_news(self, sender: str, news: GatewayNews) -> None:
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
        deltas = Deltas(news.parts, news.away, news.results)
        self._apply(deltas, now)
        self._for_relays.add(deltas)
        self._for_members.add(deltas)

    def _take_relay_news(self, sender: str, news: RelayNews) -> None:
        now = self._reactor.seconds()
        self._ties.note_relay(sender, news.chosen, now)
        self._take_heard(news.heard, now)
        self._members.note_started(sender, now - news.uptime)
        if news.data_centre != self._data_centre:
            key = f"data centre {news.data_centre}"
            self._context.work.note_peer(key, news.work, now)
        self._copies.take(sender, news.incarnation, news.usage, now)
        self._greetings.note_process(sender, news.incarnation)
        deltas = Deltas(news.parts, news.away, news.results)
        self._apply(deltas, now)
        self._for_members.add(deltas)

    def _take_fleet_news(self, sender: str, news: FleetNews) -> None:
        now = self._reactor.seconds()
        self._ties.watch.note_heard(sender, now)
        links = self._ties.links
        if links.acting or sender not in links.relays:
            return
        self._take_heard(news.heard, now)
        self._members.note_started(sender, now - news.uptime)
        sent = self._find_received(news)
        own = sent[1] if sent else self._context.work.list_own()
        self._context.work.note_peer(FLEET, subtract_work(news.work, own), now)
        if sender == links.relays[0]:
            self._apply(Deltas(news.parts, news.away, news.results), now)
        self._context.fleet.take_told(
            StoreRecord(offset, server, value) for offset, server, value in news.entries
        )
        if sent:
            sent_at, held = sent[0], sent[2]
            take_vouched_reads(self._context, news, sent_at + held)

    def _take_parts_news(self, sender: str, news: PartsNews) -> None:
        for server, part, tokens in news.parts:
            self._note_parts(server, ((part, tokens),))
        self._for_members.add_parts(news.parts)

    def _find_received(self, news: FleetNews) -> tuple[float, tuple, float] | None:
        """Return time and work of the last own message that a relay has, and its age.

        The age is the time since it came there.
        """
        for vm, sequence, held in news.received:
            if vm == self._vm and sequence in self._sent:
                return (*self._sent[sequence], held)
        return None

    def _take_heard(self, rows: Iterable[tuple], now: float) -> None:
        for vm, ready, age in rows:
            self._members.note_heard(vm, ready, now - age)

    def _apply(self, deltas: Deltas, now: float) -> None:
        work = self._context.work
        for server, failures, answers, origin in deltas.results:
            if origin != self._vm:
                work.note_results(server, failures, answers, now)
        for server, seconds in deltas.away:
            work.note_away(server, now + seconds)
        for server, part, tokens in deltas.parts:
            self._note_parts(server, ((part, tokens),))

    def _note_parts(
        self, server: str, parts: Iterable[tuple[str, int]]
    ) -> list[tuple[str, int]]:
        known = self._context.fleet.fleet.servers.get(server)
        table = self._context.configuration.table
        service = table.services.get(known.service) if known and table else None
        if service is None or service.engine is None:
            return []
        capacity = service.engine.capacity_tokens
        return self._context.work.parts.note_use(server, parts, capacity)


def find_news_interval(peers: int) -> float:
    """Return the seconds between two messages to the peers."""
    return NEWS_SECONDS * max(1.0, peers / PEERS_AT_FULL_RATE)


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
