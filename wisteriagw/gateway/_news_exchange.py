"""Exchange of news with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._delta_queue import DeltaQueue
from wisteriagw.gateway._greetings import Greetings
from wisteriagw.gateway._members import HEARD_SECONDS
from wisteriagw.gateway._news_receiver import NewsReceiver
from wisteriagw.gateway._news_sender import NewsSender
from wisteriagw.gateway._relay_queues import RelayQueues
from wisteriagw.gateway._relay_ties import PATIENCE_SECONDS, RelayTies
from wisteriagw.gateway._sent_news import SentNews
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS
from wisteriagw.gateway._vouching import set_hold, set_waits

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
        self._members = members
        self._copies = copies
        self._incarnation = incarnation
        self._data_centre = settings.data_centre
        self._ties = RelayTies(mesh, members, (settings.vm, settings.data_centre))
        self._greetings = Greetings(mesh, self._ties, context.work.parts)
        queues = RelayQueues(DeltaQueue(), DeltaQueue())
        sent = SentNews(settings.vm)
        self._sender = NewsSender(
            context, mesh, members, self._ties, queues, sent, incarnation, is_ready
        )
        self._receiver = NewsReceiver(
            context, mesh, members, self._ties, queues, sent, copies, self._greetings
        )
        set_hold(context)

    @property
    def links(self) -> Links:
        """Peers of this VM."""
        return self._ties.links

    def start(self) -> None:
        """Send now and again after each interval."""
        self.send()
        interval = find_news_interval(self._count_peers())
        self._context.work.jitter_seconds = interval - NEWS_SECONDS
        self._context.work.peer_work_valid_seconds = PEER_WORK_INTERVALS * interval
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
        self._sender.send(links, now)
        self._greetings.send()

    def announce_away(self, server: str, seconds: float) -> None:
        """Keep requests of all VMs from a server for some seconds."""
        self._context.work.mark_unavailable(server, self._reactor.seconds() + seconds)
        self._context.news.note_away(server, seconds)
        self.send()

    def take_survey(
        self, server: BackendServer, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Take what an engine says that it keeps, and tell the others."""
        added = self._receiver.note_parts(server.name, parts)
        self._context.news.note_parts(server.name, added)

    def get_copies(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a usage window by process, the own included."""
        rows = self._context.usage.list_rows(KEPT_WINDOWS)
        own = {customer: count for of, customer, count in rows if of == window}
        return {**self._copies.get(window), self._incarnation: own}

    def _count_peers(self) -> int:
        near = sum(
            member.data_centre == self._data_centre
            for member in self._members.entries.values()
        )
        return near + len(self._ties.links.chosen)


def find_news_interval(peers: int) -> float:
    """Return the seconds between two messages to the peers."""
    return NEWS_SECONDS * max(1.0, peers / PEERS_AT_FULL_RATE)
