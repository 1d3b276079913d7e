"""Exchange of news with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._fleet_feed import PACE_SECONDS
from wisteriagw.gateway._members import HEARD_SECONDS
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS
from wisteriagw.messages import GatewayNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.mesh import Mesh

NEWS_SECONDS = 0.1
# Above this many VMs each sends more rarely, so that the messages that a VM gets in a
# second stay the same.
VMS_AT_FULL_RATE = 12
# Work of a peer counts while not more than so many of its messages are missing.
PEER_WORK_INTERVALS = 5.0
# A peer is up while it is heard within so many intervals.
HEARD_INTERVALS = 3.0
# The store's calls are shared by all VMs, so many VMs read the register more rarely,
# but well within the time after which a leaving server must get no work.
REGISTER_INTERVALS = 2.0


class NewsExchange:
    """Tells the other VMs what this one does and learns the same from them.

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
        incarnation: str,
        is_ready: Callable[[], bool],
    ) -> None:
        self._context = context
        self._reactor: Any = context.reactor
        self._started_at = context.reactor.seconds()
        self._mesh = mesh
        self._members = members
        self._incarnation = incarnation
        self._is_ready = is_ready
        self._copies = UsageCopies()
        mesh.subscribe(GatewayNews, self._take)

    def start(self) -> None:
        """Send now and again after each interval."""
        self.send()
        interval = find_news_interval(len(self._members.entries))
        context = self._context
        context.work.peer_work_seconds = PEER_WORK_INTERVALS * interval
        self._members.heard_seconds = max(HEARD_SECONDS, HEARD_INTERVALS * interval)
        pace = min(REGISTER_INTERVALS * interval, context.settings.drain_seconds / 2)
        context.fleet.follower.pace = max(PACE_SECONDS, pace)
        self._reactor.callLater(interval, self.start)

    def send(self) -> None:
        """Send what has changed since the last message."""
        now = self._reactor.seconds()
        work = self._context.work
        news = self._context.news.take(
            self._is_ready(),
            now - self._started_at,
            work.list_own(),
            work.take_results(now),
        )
        self._mesh.broadcast(news)

    def announce_away(self, server: str, seconds: float) -> None:
        """Keep requests of all VMs from a server for some seconds."""
        self._context.work.note_away(server, self._reactor.seconds() + seconds)
        self._context.news.note_away(server, seconds)
        self.send()

    def tell_parts(self) -> None:
        """Tell a new process what engines keep."""
        self._context.news.repeat_parts(self._context.work.parts.list_parts())

    def take_survey(
        self, server: BackendServer, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Take what an engine says that it keeps, and tell the others."""
        added = self._note_parts(server.name, parts)
        self._context.news.note_parts(server.name, added)

    def get_copies(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a usage window by process, the own included."""
        rows = self._context.usage.list_rows(KEPT_WINDOWS)
        own = [row for row in rows if row[0] == window]
        self._copies.take(self._incarnation, own)
        self._copies.prune(window)
        return self._copies.get(window)

    def _take(self, sender: str, news: GatewayNews) -> None:
        now = self._reactor.seconds()
        work = self._context.work
        work.note_peer(sender, news.work, now)
        self._copies.take(news.incarnation, news.usage)
        for server, failures, answers in news.results:
            work.note_results(server, failures, answers, now)
        for server, seconds in news.away:
            work.note_away(server, now + seconds)
        for server, part, tokens in news.parts:
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


def find_news_interval(vms: int) -> float:
    """Return the seconds between two messages to the peers."""
    return NEWS_SECONDS * max(1.0, vms / VMS_AT_FULL_RATE)
