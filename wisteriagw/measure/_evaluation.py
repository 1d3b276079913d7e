"""Figures from the answers of a run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from wisteriagw.measure._engine_role_model import CAPACITY
from wisteriagw.measure._fake_service import SERVICE_SLOTS
from wisteriagw.measure._fleet_account import CHEAP_PRICE, DEPENDABLE_PRICE
from wisteriagw.measure._workload import BLOCK, build_weights

if TYPE_CHECKING:
    from wisteriagw.measure._answer import Answer
    from wisteriagw.measure._figures import Figures
    from wisteriagw.measure._simulation import Simulation

FIRST_TOKEN_SECONDS = 1.6
TOKEN_SECONDS = 0.03
STALL_SECONDS = 2.0
WINDOW_SECONDS = 5
SHARE_SECONDS = 30.0


def is_good(answer: Answer, client_seconds: float) -> bool:
    """Return whether a request was answered whole and in time."""
    if answer.first_at is None or answer.ended_at is None:
        return False
    if answer.first_at - answer.offer.at + client_seconds > FIRST_TOKEN_SECONDS:
        return False
    gaps = answer.offer.output_tokens - 1
    return answer.ended_at - answer.first_at <= gaps * TOKEN_SECONDS + 1e-9


def is_harmed(answer: Answer) -> bool:
    """Return whether an accepted request was cut or failed."""
    return answer.failed or answer.cut or answer.runs > 1 and is_once(answer)


def is_once(answer: Answer) -> bool:
    """Return whether a request must not run twice."""
    return not answer.offer.repeatable


def compute_offered_work(answer: Answer) -> float:
    """Return the engine seconds of a model call with a perfect cache."""
    offer = answer.offer
    shared = sum(1 for block in offer.blocks if block < 1_000_000) * BLOCK
    return (offer.prompt_tokens - shared) / 32_000 + offer.output_tokens * 0.000_25


def share_fairly(
    demands: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Return the max-min shares of a total by weight."""
    shares: dict[str, float] = {}
    open_names = set(demands)
    while open_names:
        unit = total / sum(weights[name] for name in open_names)
        met = sorted(n for n in open_names if demands[n] <= unit * weights[n] + 1e-9)
        if not met:
            for name in open_names:
                shares[name] = unit * weights[name]
            return shares
        for name in met:
            shares[name] = demands[name]
            total -= demands[name]
            open_names.discard(name)
    return shares


def find_within_share(
    answers: list[Answer], weights: dict[str, float], capacity: float
) -> set[tuple[str, int]]:
    """Return the customers within their share of the capacity, by window.

    The windows are short, so that a flood of minutes does not pass for a customer
    within its share because the rest of the day is calm.
    """
    offered: dict[tuple[str, int], float] = {}
    for answer in answers:
        if answer.offer.serves == "model":
            place = (answer.offer.customer, int(answer.offer.at // SHARE_SECONDS))
            offered[place] = offered.get(place, 0.0) + compute_offered_work(answer)
    total_weight = sum(weights.values())
    return {
        (name, window)
        for (name, window), work in offered.items()
        if work <= capacity * SHARE_SECONDS * weights[name] / total_weight
    }


def evaluate_customers(
    answers: list[Answer], weights: dict[str, float], capacity: float, client: float
) -> tuple[float, float]:
    """Return the lowest goodput within the share, and the lowest share received."""
    offered: dict[str, float] = dict.fromkeys(weights, 0.0)
    received = dict.fromkeys(weights, 0.0)
    good: Counter[str] = Counter()
    count: Counter[str] = Counter()
    within = find_within_share(answers, weights, capacity)
    for answer in answers:
        name = answer.offer.customer
        if (name, int(answer.offer.at // SHARE_SECONDS)) in within:
            count[name] += 1
            good[name] += is_good(answer, client)
        if answer.offer.serves != "model":
            continue
        work = compute_offered_work(answer)
        offered[name] += work
        received[name] += work if answer.ended_at is not None else 0.0
    worst = min((good[name] / count[name] for name in count), default=1.0)
    shares = share_fairly(offered, weights, sum(received.values()))
    ratios = [received[name] / shares[name] for name in weights if shares[name] > 0]
    return worst, min(ratios, default=1.0)


def compute_lower_bound(simulation: Simulation, answers: list[Answer]) -> float:
    """Return the work over capacity at the cheapest price the guarantees allow.

    Repeatable work is priced at cheap servers of which any data centre's may be lost;
    work that must not repeat at dependable ones.
    """
    places = simulation.deployment.data_centres
    spread = min(CHEAP_PRICE * places / (places - 1), DEPENDABLE_PRICE)
    cost = 0.0
    for answer in answers:
        if answer.ended_at is None:
            continue
        if answer.offer.serves == "model":
            cost += compute_offered_work(answer) / CAPACITY * spread
            continue
        price = DEPENDABLE_PRICE if is_once(answer) else spread
        cost += answer.offer.service_seconds / SERVICE_SLOTS * price
    return cost


def compute_recovery(simulation: Simulation, client: float) -> float:
    """Return the longest time from a fault to goodput of 0.95 again, in seconds.

    Goodput is taken over windows of 5 s by arrival; 0 if it never fell.
    """
    good: Counter[int] = Counter()
    count: Counter[int] = Counter()
    for answer in simulation.answers:
        window = int(answer.offer.at // WINDOW_SECONDS)
        count[window] += 1
        good[window] += is_good(answer, client)
    worst = 0.0
    for at, _ in simulation.scenario.faults:
        last = 0.0
        for window in range(int(at // WINDOW_SECONDS), max(count, default=0) + 1):
            if not count[window] or good[window] / count[window] >= 0.95:
                break
            last = (window + 1) * WINDOW_SECONDS - at
        worst = max(worst, last)
    return worst


def evaluate(simulation: Simulation) -> Figures:
    """Return the figures of a finished run."""
    answers = simulation.answers
    deployment = simulation.deployment
    client = deployment.client_seconds
    capacity = deployment.workers * CAPACITY
    worst, share = evaluate_customers(
        answers, build_weights(deployment), capacity, client
    )
    good = sum(is_good(answer, client) for answer in answers)
    model = [answer for answer in answers if answer.offer.serves == "model"]
    model_good = sum(is_good(answer, client) for answer in model)
    decisions = sum(entry.dispatcher.decision_count for entry in simulation.entries)
    spent = sum(entry.decision_nanoseconds for entry in simulation.entries)
    return {
        "scenario": "",
        "policy": simulation.policy.name,
        "deployment": "",
        "seed": 0,
        "load": None,
        "offered": len(answers),
        "goodput": round(good / max(1, len(answers)), 4),
        "model_goodput": round(model_good / max(1, len(model)), 4),
        "worst_customer_goodput": round(worst, 4),
        "worst_customer_share": round(share, 4),
        "recovery_seconds": round(compute_recovery(simulation, client), 1),
        "role_changes": simulation.control.role_changes,
        "cost": round(simulation.account.cost, 1),
        "cost_lower_bound": round(compute_lower_bound(simulation, answers), 1),
        "cheap_work_share": round(
            simulation.cheap_work / max(simulation.repeatable_work, 1e-9), 4
        ),
        "harmed_requests": sum(is_harmed(answer) for answer in answers),
        "refused_not_run": sum(bool(answer.refused) for answer in answers),
        "ran_twice": sum(is_once(answer) and answer.runs > 1 for answer in answers),
        "usage_errors": count_usage_errors(simulation),
        "decisions": decisions,
        "decision_microseconds": round(spent / 1000 / max(1, decisions), 1),
    }


def count_usage_errors(simulation: Simulation) -> int:
    """Return the customers whose figures at the entries and the engines differ."""
    entries: Counter[str] = Counter()
    done: Counter[str] = Counter()
    for entry in simulation.entries:
        entries.update(entry.usage)
    for server in simulation.servers.values():
        done.update(server.generated)
    names = set(entries) | set(done)
    return sum(entries[name] != done[name] for name in names)
