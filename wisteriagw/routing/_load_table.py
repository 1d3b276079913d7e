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

# With up to this many servers all are scored; beyond it the candidates are sampled.
SCORE_ALL = 16
SAMPLES = 6
STATIC_FIELDS = BackendView._fields.index("queued_prefill_tokens")


class LoadTable:
    """Backend servers by name, and the account of the work on each."""

    def __init__(self, profiles: Mapping[str, RoleProfile]) -> None:
        self.profiles = profiles
        self.views: dict[str, BackendView] = {}
        self.loads: dict[str, ServerLoad] = {}
        # Names by model or service, and by whether the work may be cut: a sample must
        # not miss the few dependable servers, and never holds leaving ones.
        self._names: dict[tuple[str, bool], list[str]] = {}
        self._live = 0
        self._loaded: dict[str, set[str]] = {}
        # Views without the estimated load: replacing fields costs several times more.
        self._statics: dict[str, tuple[Any, ...]] = {}
        self._peers: dict[str, tuple[float, PeerLoad]] = {}

    def set_servers(self, views: Iterable[BackendView]) -> None:
        """Take over the backend servers; the accounts of known ones are kept."""
        self.views = {}
        self._statics = {}
        for view in views:
            self._set_view(view)
        self._index()

    def replace_view(self, view: BackendView) -> None:
        """Take over a new backend server or a change of a known one."""
        self._set_view(view)
        self._index()

    def remove_server(self, name: str) -> None:
        """Forget a backend server that is gone."""
        self.views.pop(name, None)
        self.loads.pop(name, None)
        self._loaded.pop(name, None)
        self._statics.pop(name, None)
        self._index()

    def note_loaded(self, name: str, adapter: str) -> None:
        """Record that a server has an adapter, or will once it has loaded it."""
        self._loaded.setdefault(name, set()).add(adapter)
        self._set_view(self.views[name])

    def _set_view(self, view: BackendView) -> None:
        view = self._apply_profile(view)
        loaded = self._loaded.get(view.name)
        if loaded:
            view = view._replace(loaded=view.loaded | loaded)
        self.views[view.name] = view
        self._statics[view.name] = view[:STATIC_FIELDS]
        if view.name not in self.loads:
            self.loads[view.name] = ServerLoad()

    def _index(self) -> None:
        self._names = {}
        live = [view for view in self.views.values() if not view.leaving]
        self._live = len(live)
        for view in live if self._live > SCORE_ALL else self.views.values():
            self._names.setdefault((view.serves, True), []).append(view.name)
            if not view.reclaimable or self._live <= SCORE_ALL:
                self._names.setdefault((view.serves, False), []).append(view.name)

    def apply_report(self, report: LoadReport) -> None:
        """Take in a load report."""
        load = self.loads.get(report.backend_server)
        if load is not None:
            load.apply_report(report)

    def apply_peer(self, peer: PeerLoad, now: float) -> None:
        """Take in what another entry VM has outstanding; silent ones are dropped."""
        if self._live > SCORE_ALL:
            return
        self._peers[peer.vm] = (now, peer)
        for vm, (heard_at, _) in list(self._peers.items()):
            if now - heard_at > PEERS_VALID_SECONDS:
                del self._peers[vm]
        for name, load in self.loads.items():
            tokens = streams = 0.0
            for _, other in self._peers.values():
                outstanding = other.loads.get(name)
                if outstanding is not None:
                    tokens += outstanding[0]
                    streams += outstanding[1]
            load.set_peers(tokens, streams, len(self._peers), now)

    def list_own(self) -> dict[str, tuple[float, int]]:
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
            What is to be placed.
        holders : iterable of str
            Servers that hold a prefix of the prompt.
        draw : callable
            Returns a random number below its argument; entry VMs draw differently, so
            that they don't all choose the same idle server.
        now : float
            Time in seconds.
        """
        names = self._names.get((request.serves, request.repeatable), [])
        if len(names) > SCORE_ALL:
            chosen = dict.fromkeys(name for name in holders if name in self.views)
            for _ in range(SAMPLES):
                chosen[names[draw(len(names))]] = None
            names = list(chosen)
        statics, loads, make = self._statics, self.loads, BackendView._make
        views = []
        for name in names:
            views.append(make(statics[name] + loads[name].estimate(now)))
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
