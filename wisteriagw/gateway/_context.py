"""State shared by the requests of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import ConnectionPool
    from wisteriagw.eras import EraTracker
    from wisteriagw.gateway._configuration_feed import ConfigurationFeed
    from wisteriagw.gateway._crash_detector import CrashDetector
    from wisteriagw.gateway._crashing_parts import CrashingParts
    from wisteriagw.gateway._decision_log import DecisionLog
    from wisteriagw.gateway._engine_rate_table import EngineRateTable
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.gateway._hedges import Hedges
    from wisteriagw.gateway._metrics import GatewayMetrics
    from wisteriagw.gateway._pending_updates import PendingUpdates
    from wisteriagw.gateway._retry_budgets import RetryBudgets
    from wisteriagw.gateway._urgent_ranks import UrgentRanks
    from wisteriagw.gateway._usage_counter import UsageCounter
    from wisteriagw.gateway.notices import NoticeBoard
    from wisteriagw.placement import WorkTable
    from wisteriagw.platform import EngineClient, NodeSettings
    from wisteriagw.sums import SumTable


class GatewayContext(NamedTuple):
    """Services and state that all requests of the process use."""

    reactor: Any
    settings: NodeSettings
    configuration: ConfigurationFeed
    fleet: FleetFeed
    pool: ConnectionPool
    work: WorkTable
    rates: EngineRateTable
    budgets: RetryBudgets
    usage: UsageCounter
    pending_updates: PendingUpdates
    log: DecisionLog
    metrics: GatewayMetrics
    crashing_parts: CrashingParts
    crash_detector: CrashDetector
    notices: NoticeBoard
    draw: Callable[[], float]
    eras: EraTracker
    engines: EngineClient
    sums: SumTable
    urgent_ranks: UrgentRanks
    # None if the limit is 0.
    hedges: Hedges | None = None
