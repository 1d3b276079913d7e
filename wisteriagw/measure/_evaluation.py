"""Figures of a finished run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from wisteriagw.measure._engine_role_model import ENGINE_CAPACITY
from wisteriagw.measure._fake_service import SERVICE_SLOTS
from wisteriagw.measure._fleet_cost import DEPENDABLE_PRICE, RECLAIMABLE_PRICE
from wisteriagw.measure._workload import BLOCK_TOKENS, build_weights

if TYPE_CHECKING:
    from wisteriagw.measure._figures import Figures
    from wisteriagw.measure._request_trace import RequestTrace
    from wisteriagw.measure._simulation import Simulation

FIRST_TOKEN_TARGET_SECONDS = 1.6
TOKEN_TARGET_SECONDS = 0.03
STALL_SECONDS = 2.0
GOODPUT_WINDOW_SECONDS = 5
SHARE_WINDOW_SECONDS = 30.0


def meets_targets(trace: RequestTrace, client_latency_seconds: float) -> bool:
    """Return whether the answer was complete and met the latency targets."""
    if trace.first_token_at is None or trace.ended_at is None:
        return False
    if (
        trace.first_token_at - trace.request.at + client_latency_seconds
        > FIRST_TOKEN_TARGET_SECONDS
    ):
        return False
    gaps = trace.request.output_tokens - 1
    return trace.ended_at - trace.first_token_at <= gaps * TOKEN_TARGET_SECONDS + 1e-9


def is_harmed(trace: RequestTrace) -> bool:
    """Return whether an accepted request was interrupted or failed.

    A non-repeatable request that ran more than once counts too.
    """
    return (
        trace.failed or trace.interrupted or trace.runs > 1 and is_nonrepeatable(trace)
    )


def is_nonrepeatable(trace: RequestTrace) -> bool:
    """Return whether a request must not run more than once."""
    return not trace.request.repeatable


def compute_ideal_work(trace: RequestTrace) -> float:
    """Return the engine seconds of a model call with an ideal prefix cache."""
    request = trace.request
    shared = sum(1 for block in request.blocks if block < 1_000_000) * BLOCK_TOKENS
    return (request.prompt_tokens - shared) / 32_000 + request.output_tokens * 0.000_25


def compute_max_min_shares(
    demands: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a total."""
    shares: dict[str, float] = {}
    unsatisfied = set(demands)
    while unsatisfied:
        unit = total / sum(weights[name] for name in unsatisfied)
        satisfied = sorted(
            n for n in unsatisfied if demands[n] <= unit * weights[n] + 1e-9
        )
        if not satisfied:
            for name in unsatisfied:
                shares[name] = unit * weights[name]
            return shares
        for name in satisfied:
            shares[name] = demands[name]
            total -= demands[name]
            unsatisfied.discard(name)
    return shares


def find_customers_within_share(
    traces: list[RequestTrace], weights: dict[str, float], capacity: float
) -> set[tuple[str, int]]:
    """Return the customers within their share of the capacity, by window.

    The windows are short: averaged over a day, a customer that floods the system for
    some minutes would count as within its share.
    """
    offered: dict[tuple[str, int], float] = {}
    for trace in traces:
        if trace.request.serves == "model":
            key = (
                trace.request.customer,
                int(trace.request.at // SHARE_WINDOW_SECONDS),
            )
            offered[key] = offered.get(key, 0.0) + compute_ideal_work(trace)
    total_weight = sum(weights.values())
    return {
        (name, window)
        for (name, window), work in offered.items()
        if work <= capacity * SHARE_WINDOW_SECONDS * weights[name] / total_weight
    }


def evaluate_customers(
    traces: list[RequestTrace],
    weights: dict[str, float],
    capacity: float,
    client: float,
) -> tuple[float, float]:
    """Return the lowest goodput of customers within their share, and lowest share."""
    offered: dict[str, float] = dict.fromkeys(weights, 0.0)
    received = dict.fromkeys(weights, 0.0)
    good: Counter[str] = Counter()
    count: Counter[str] = Counter()
    within = find_customers_within_share(traces, weights, capacity)
    for trace in traces:
        name = trace.request.customer
        if (name, int(trace.request.at // SHARE_WINDOW_SECONDS)) in within:
            count[name] += 1
            good[name] += meets_targets(trace, client)
        if trace.request.serves != "model":
            continue
        work = compute_ideal_work(trace)
        offered[name] += work
        received[name] += work if trace.ended_at is not None else 0.0
    worst = min((good[name] / count[name] for name in count), default=1.0)
    shares = compute_max_min_shares(offered, weights, sum(received.values()))
    ratios = [received[name] / shares[name] for name in weights if shares[name] > 0]
    return worst, min(ratios, default=1.0)


def compute_lower_bound(simulation: Simulation, traces: list[RequestTrace]) -> float:
    """Return the lowest cost of the completed work that the guarantees allow.

    Repeatable work is priced at reclaimable servers with the spare capacity to lose
    those of any one data centre; work that must not repeat, at dependable servers.
    """
    data_centres = simulation.deployment.data_centres
    redundant_price = min(
        RECLAIMABLE_PRICE * data_centres / (data_centres - 1), DEPENDABLE_PRICE
    )
    cost = 0.0
    for trace in traces:
        if trace.ended_at is None:
            continue
        if trace.request.serves == "model":
            cost += compute_ideal_work(trace) / ENGINE_CAPACITY * redundant_price
            continue
        price = DEPENDABLE_PRICE if is_nonrepeatable(trace) else redundant_price
        cost += trace.request.service_seconds / SERVICE_SLOTS * price
    return cost


def compute_recovery(simulation: Simulation, client: float) -> float:
    """Return the longest time in seconds from a fault until goodput is 0.95 again.

    Goodput is computed over windows of 5 s by time of arrival. Returns 0 if it never
    fell below 0.95.
    """
    good: Counter[int] = Counter()
    count: Counter[int] = Counter()
    for trace in simulation.traces:
        window = int(trace.request.at // GOODPUT_WINDOW_SECONDS)
        count[window] += 1
        good[window] += meets_targets(trace, client)
    worst = 0.0
    for at, _ in simulation.scenario.faults:
        last = 0.0
        for window in range(
            int(at // GOODPUT_WINDOW_SECONDS), max(count, default=0) + 1
        ):
            if not count[window] or good[window] / count[window] >= 0.95:
                break
            last = (window + 1) * GOODPUT_WINDOW_SECONDS - at
        worst = max(worst, last)
    return worst


def evaluate(simulation: Simulation) -> Figures:
    """Return the figures of a finished run."""
    traces = simulation.traces
    deployment = simulation.deployment
    client = deployment.client_latency_seconds
    capacity = deployment.workers * ENGINE_CAPACITY
    worst, share = evaluate_customers(
        traces, build_weights(deployment), capacity, client
    )
    good = sum(meets_targets(trace, client) for trace in traces)
    model = [trace for trace in traces if trace.request.serves == "model"]
    model_good = sum(meets_targets(trace, client) for trace in model)
    decisions = sum(entry.dispatcher.decision_count for entry in simulation.entries)
    spent = sum(entry.decision_nanoseconds for entry in simulation.entries)
    return {
        "scenario": "",
        "policy": simulation.policy.name,
        "deployment": "",
        "seed": 0,
        "load": None,
        "offered": len(traces),
        "goodput": round(good / max(1, len(traces)), 4),
        "model_goodput": round(model_good / max(1, len(model)), 4),
        "worst_customer_goodput": round(worst, 4),
        "worst_customer_share": round(share, 4),
        "recovery_seconds": round(compute_recovery(simulation, client), 1),
        "role_changes": simulation.control.role_changes,
        "cost": round(simulation.fleet_cost.cost, 1),
        "cost_lower_bound": round(compute_lower_bound(simulation, traces), 1),
        "cheap_work_share": round(
            simulation.reclaimable_work / max(simulation.repeatable_work, 1e-9), 4
        ),
        "harmed_requests": sum(is_harmed(trace) for trace in traces),
        "refused_not_run": sum(bool(trace.refusal_code) for trace in traces),
        "ran_twice": sum(
            is_nonrepeatable(trace) and trace.runs > 1 for trace in traces
        ),
        "usage_errors": count_usage_errors(simulation),
        "decisions": decisions,
        "decision_microseconds": round(spent / 1000 / max(1, decisions), 1),
    }


def count_usage_errors(simulation: Simulation) -> int:
    """Return how many customers have usage that differs between entries and servers."""
    entries: Counter[str] = Counter()
    done: Counter[str] = Counter()
    for entry in simulation.entries:
        entries.update(entry.usage)
    for server in simulation.servers.values():
        done.update(server.generated)
    names = set(entries) | set(done)
    return sum(entries[name] != done[name] for name in names)
