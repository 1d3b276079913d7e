"""Update of the gauges among a process's metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.connections import ServerFactory
    from wisteriagw.gateway._context import GatewayContext

# Age in metrics before the first read.
MAX_AGE_SECONDS = 1e6


def update_gauges(context: GatewayContext, vms: int, front: ServerFactory) -> None:
    """Set the gauges to the state of a process.

    Parameters
    ----------
    context : GatewayContext
        Services and state of the process.
    vms : int
        Number of VMs that are alive.
    front : ServerFactory
        Connections of callers, with the budgets of their requests and responses.
    """
    metrics = context.metrics
    for kind, count in context.notices.count_in_force().items():
        metrics.server_notices.labels(kind).set(count)
    metrics.vms.set(vms)
    metrics.store_restores.set(context.eras.restores)
    metrics.backend_servers.set(len(context.fleet.fleet.servers))
    age = min(context.configuration.get_age(), MAX_AGE_SECONDS)
    metrics.configuration_age.set(age)
    age = context.reactor.seconds() - context.fleet.follower.read_at
    metrics.register_age.set(min(age, MAX_AGE_SECONDS))
    budgets = (
        ("answers", context.pool.budget),
        ("requests", front.budget),
        ("responses", front.response_budget),
    )
    for side, budget in budgets:
        metrics.buffered_bytes.labels(side).set(budget.used)
        metrics.dropped_buffers.labels(side).set(budget.dropped)
