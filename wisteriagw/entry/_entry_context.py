"""Shared state of the resources of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks, succeed

from wisteriagw.audit import AuditWriter
from wisteriagw.clocks import read_wall_time
from wisteriagw.config import (
    CONFIG_CODEC,
    apply_record,
    build_empty_config,
    find_refusal,
)
from wisteriagw.entry._applied_change import AppliedChange
from wisteriagw.entry._backend_views import BackendViews
from wisteriagw.entry._config_changes import CONFIG_STREAM
from wisteriagw.entry._decision_ring import DecisionRing
from wisteriagw.entry._explained_decision import ExplainedDecision
from wisteriagw.entry._open_streams import OpenStreams
from wisteriagw.entry._own_state import build_own_state
from wisteriagw.entry._recent_changes import RecentChanges
from wisteriagw.entry._requests_by_key import RequestsByKey
from wisteriagw.entry._retry_limiter import RetryLimiter
from wisteriagw.entry._running_streams import RunningStreams
from wisteriagw.entry._shutdown import Shutdown
from wisteriagw.entry._usage_recorder import UsageRecorder
from wisteriagw.follower import RecordHistory, StreamFollower
from wisteriagw.membership import (
    PERMIT_SECONDS,
    SUMMARY_SECONDS,
    Membership,
    decide_acceptance,
    uses_relays,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.calls import AtMostOnceExecutor
    from wisteriagw.clients import LogClient
    from wisteriagw.config import ConfigState, RouteRow
    from wisteriagw.entry._dispatch_adapter import DispatchAdapter
    from wisteriagw.http import HttpClient
    from wisteriagw.membership import Acceptance, Confirmation
    from wisteriagw.mesh import Mesh
    from wisteriagw.routing import BackendView

# A quarter of the 32 MB for all control-plane work.
MAX_HISTORY_BYTES = 8 * 1024 * 1024


class EntryContext:
    """Configuration, clients and accounting of one entry process."""

    def __init__(
        self,
        settings: dict[str, Any],
        client: HttpClient,
        log: LogClient,
        clock: Callable[[], float],
        running: Counter[str],
        sleep: Callable[[float], Deferred[Any]] | None = None,
    ) -> None:
        self.settings = settings
        self.client = client
        self.log = log
        self.clock = clock
        self.running = RunningStreams(running)
        self._views = BackendViews(self.running)
        self.retries = RetryLimiter(clock)
        self.call_executor: AtMostOnceExecutor | None = None
        history = RecordHistory(MAX_HISTORY_BYTES)
        self.sleep = sleep or (lambda seconds: succeed(None))
        self.recent_changes = RecentChanges()
        self.requests_by_key = RequestsByKey()
        self.decisions = DecisionRing()
        self.audit = AuditWriter(log)
        self._accepted_revision = -1
        self._accepted_at = 0.0
        self.shutdown = Shutdown(client.reactor, settings["drain-seconds"])
        self.dispatch: DispatchAdapter | None = None
        self.config_follower = StreamFollower(
            log,
            CONFIG_STREAM,
            build_empty_config(),
            self._apply_config,
            clock,
            CONFIG_CODEC,
            history=history,
        )
        self.mesh: Mesh | None = None
        self.membership = Membership(
            build_own_state(settings, clock()),
            self.config_follower,
            history,
            clock,
            self.send_message,
        )
        self.open_streams = OpenStreams()
        self.usage = UsageRecorder(
            settings["vm"], read_wall_time, settings.get("usage-window-seconds", 60)
        )

    @property
    def config(self) -> ConfigState:
        """The configuration up to the last record read."""
        return self.config_follower.state

    def send_message(self, vm: str, message: Any) -> None:
        """Send a message to another entry VM; it may be lost."""
        if self.mesh is not None:
            self.mesh.send(vm, message)

    def list_confirmations(self) -> list[Confirmation]:
        """Return the known configuration state of each entry VM on the VM list."""
        return self.membership.list_confirmations()

    @inlineCallbacks
    def poll_config(self) -> Generator[Deferred[Any], Any, None]:
        """Read the configuration to the tip; fails with LogUnavailableError."""
        yield self.config_follower.poll()
        # A start from a checkpoint skips the records of withdrawals.
        self.requests_by_key.abort_withdrawn(self.config.key_customers)
        self.audit.flush()

    def _apply_config(self, record: Any, state: ConfigState, offset: int) -> Any:
        nonce = getattr(record, "nonce", "")
        if nonce:
            change = AppliedChange(offset, find_refusal(record, state))
            self.recent_changes.add(nonce, change)
        new_state = apply_record(record, state, offset)
        if new_state.key_customers is not state.key_customers:
            self.requests_by_key.abort_withdrawn(new_state.key_customers)
        return new_state

    def decide_acceptance(self, revision: int) -> Acceptance:
        """Return how far a revision of the configuration has propagated."""
        now = self.clock()
        accepted_at = None
        if revision <= self._accepted_revision:
            accepted_at = self._accepted_at
        state = self.membership.state
        acceptance = decide_acceptance(
            self.list_confirmations(),
            state.vm_list_digest,
            revision,
            now,
            SUMMARY_SECONDS if uses_relays(state) else PERMIT_SECONDS,
            accepted_at,
        )
        if acceptance.accepted and revision > self._accepted_revision:
            self._accepted_revision, self._accepted_at = revision, now
        return acceptance

    def record_decision(
        self, request_id: str, customer: str, inputs: Any, decision: Any
    ) -> None:
        """Store a decision for operators to inspect."""
        self.decisions.add(
            ExplainedDecision(read_wall_time(), request_id, customer, inputs, decision)
        )

    def list_views(self) -> list[BackendView]:
        """Return the views of the backend servers for routing decisions."""
        return self._views.list_views(self.config, self.membership.departures)

    def get_priority(self, customer: str) -> int:
        """Return the priority of a customer on the sheet, 0 for others."""
        index = self._views.get_index(self.config.sheet)
        return index.priorities.get(customer, 0)

    def get_address(self, backend_server: str) -> tuple[str, int] | None:
        """Return the address of a backend server on the sheet."""
        index = self._views.get_index(self.config.sheet)
        return index.get_address(backend_server)

    def find_route(self, service: str, method: str, path: str) -> RouteRow | None:
        """Return the route of a plain service call with the longest matching path."""
        index = self._views.get_index(self.config.sheet)
        return index.find_route(service, method, path)
