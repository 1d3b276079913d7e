"""Backend servers with their estimated load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.routing._backend_view import BackendView
from wisteriagw.routing._server_load import PEERS_VALID_SECONDS, ServerLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from wisteriagw.routing._load_report import LoadReport
    from wisteriagw.routing._peer_load import PeerLoad
    from wisteriagw.routing._role_profile import RoleProfile
    from wisteriagw.routing._route_request import RouteRequest

# Up to this many servers all are scored; beyond it the candidates are sampled.
MAX_SCORED_SERVERS = 16
SAMPLE_SIZE = 6
STATIC_FIELD_COUNT = BackendView._fields.index("queued_prefill_tokens")


class LoadTable:
    """Backend servers by name, with the tracked load of each."""

    def __init__(self, profiles: Mapping[str, RoleProfile]) -> None:
        self.profiles = profiles
        self.views: dict[str, BackendView] = {}
        self.loads: dict[str, ServerLoad] = {}
        # Names by model or service, and by whether the work is repeatable: a sample
        # must not miss the few dependable servers, and never contains leaving ones.
        self._names: dict[tuple[str, bool], list[str]] = {}
        self._active_count = 0
        self._loaded: dict[str, set[str]] = {}
        # Views without the estimated load: appending the load to a tuple is several
        # times faster than ``_replace``.
        self._static_fields: dict[str, tuple[Any, ...]] = {}
        self._peers: dict[str, tuple[float, PeerLoad]] = {}

    def set_servers(self, views: Iterable[BackendView]) -> None:
        """Replace the backend servers; the tracked load of known ones is kept."""
        self.views = {}
        self._static_fields = {}
        for view in views:
            self._set_view(view)
        self._index()

    def replace_view(self, view: BackendView) -> None:
        """Add a backend server or replace a known one."""
        self._set_view(view)
        self._index()

    def remove_server(self, name: str) -> None:
        """Remove a backend server that has ended."""
        self.views.pop(name, None)
        self.loads.pop(name, None)
        self._loaded.pop(name, None)
        self._static_fields.pop(name, None)
        self._index()

    def record_loaded(self, name: str, adapter: str) -> None:
        """Record that a server has loaded an adapter or is about to."""
        self._loaded.setdefault(name, set()).add(adapter)
        self._set_view(self.views[name])

    def _set_view(self, view: BackendView) -> None:
        view = self._apply_profile(view)
        loaded = self._loaded.get(view.name)
        if loaded:
            view = view._replace(loaded=view.loaded | loaded)
        self.views[view.name] = view
        self._static_fields[view.name] = view[:STATIC_FIELD_COUNT]
        if view.name not in self.loads:
            self.loads[view.name] = ServerLoad()

    def _index(self) -> None:
        self._names = {}
        active = [view for view in self.views.values() if not view.leaving]
        self._active_count = len(active)
        for view in (
            active if self._active_count > MAX_SCORED_SERVERS else self.views.values()
        ):
            self._names.setdefault((view.serves, True), []).append(view.name)
            if not view.reclaimable or self._active_count <= MAX_SCORED_SERVERS:
                self._names.setdefault((view.serves, False), []).append(view.name)

    def apply_report(self, report: LoadReport) -> None:
        """Apply a load report."""
        load = self.loads.get(report.backend_server)
        if load is not None:
            load.apply_report(report)

    def apply_peer_load(self, peer: PeerLoad, now: float) -> None:
        """Apply the outstanding work of another entry VM; drop unresponsive ones."""
        if self._active_count > MAX_SCORED_SERVERS:
            return
        self._peers[peer.vm] = (now, peer)
        for vm, (received_at, _) in list(self._peers.items()):
            if now - received_at > PEERS_VALID_SECONDS:
                del self._peers[vm]
        for name, load in self.loads.items():
            tokens = streams = 0.0
            for _, other in self._peers.values():
                outstanding = other.loads.get(name)
                if outstanding is not None:
                    tokens += outstanding[0]
                    streams += outstanding[1]
            load.set_peers(tokens, streams, len(self._peers), now)

    def list_own_load(self) -> dict[str, tuple[float, int]]:
        """Return the own outstanding work by server, for other entry VMs."""
        return {
            name: (load.own_tokens, load.own_streams)
            for name, load in self.loads.items()
            if load.own_streams
        }

    def list_candidates(
        self,
        request: RouteRequest,
        holders: Iterable[str],
        draw: Callable[[int], int],
        now: float,
    ) -> list[BackendView]:
        """Return the views to score: cache holders and a bounded random sample.

        Parameters
        ----------
        request : RouteRequest
            Request to be placed.
        holders : iterable of str
            Servers that have a prefix of the prompt cached.
        draw : callable
            Returns a random number below its argument; entry VMs draw independently,
            so that they don't all choose the same idle server.
        now : float
            Time in seconds.
        """
        names = self._names.get((request.serves, request.repeatable), [])
        if len(names) > MAX_SCORED_SERVERS:
            chosen = dict.fromkeys(name for name in holders if name in self.views)
            for _ in range(SAMPLE_SIZE):
                chosen[names[draw(len(names))]] = None
            names = list(chosen)
        static_fields, loads, make = self._static_fields, self.loads, BackendView._make
        views = []
        for name in names:
            views.append(make(static_fields[name] + loads[name].estimate(now)))
        return views

    def _apply_profile(self, view: BackendView) -> BackendView:
        profile = self.profiles.get(view.role)
        if profile is None:
            return view
        return view._replace(
            prefill_tokens_per_second=profile.prefill_tokens_per_second,
            max_streams=profile.max_streams,
            call_seconds=profile.call_seconds,
        )
