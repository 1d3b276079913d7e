"""Workload generator."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import numpy as np

from wisteriagw.measure._engine_role_model import (
    ENGINE_CAPACITY,
    PREFILL_TOKEN_SECONDS,
    STREAM_STEP_SECONDS,
)
from wisteriagw.measure._fake_service import MEAN_SERVICE_SECONDS, SERVICE_SLOTS
from wisteriagw.measure._offered_request import OfferedRequest
from wisteriagw.measure._prompt_distribution import PromptDistribution

if TYPE_CHECKING:
    from wisteriagw.measure._deployment import Deployment
    from wisteriagw.measure._phase import Phase

BLOCK_TOKENS = 1000
LARGE_CUSTOMERS = 2
LARGE_WEIGHT = 3.0
FLOODING_CUSTOMER = 0
# Fraction of its share that each of the other customers offers during a flood.
CALM_FRACTION = 0.7
MAX_PREFIXES = 4
NONREPEATABLE_FRACTION = 0.3
SAMPLE_SIZE = 20_000


REPORT_PROMPTS = PromptDistribution(3500.0, 0.9, 16_000, 0.9, 3, 50.0, 0.6, 400)
QUESTION_PROMPTS = PromptDistribution(200.0, 0.8, 2_000, 0.5, 1, 180.0, 0.7, 1_500)


def build_weights(deployment: Deployment) -> dict[str, float]:
    """Return the weight of each customer; a few are large."""
    return {
        f"customer-{index}": LARGE_WEIGHT if index < LARGE_CUSTOMERS else 1.0
        for index in range(deployment.customers)
    }


def draw_sizes(
    distribution: PromptDistribution, rng: np.random.Generator, count: int
) -> tuple[np.ndarray, np.ndarray]:
    """Return random lengths of the unshared prompt parts and of the outputs."""
    prompts = distribution.median_prompt * rng.lognormal(
        0.0, distribution.prompt_sigma, count
    )
    outputs = distribution.median_output * rng.lognormal(
        0.0, distribution.output_sigma, count
    )
    return (
        np.clip(prompts, 10, distribution.longest_prompt).astype(int),
        np.clip(outputs, 2, distribution.longest_output).astype(int),
    )


@cache
def compute_mean_work(distribution: PromptDistribution) -> tuple[float, float]:
    """Return the mean engine seconds of prefill and decode with an ideal cache."""
    prompts, outputs = draw_sizes(distribution, np.random.default_rng(0), SAMPLE_SIZE)
    return (
        float(prompts.mean()) * PREFILL_TOKEN_SECONDS,
        float(outputs.mean()) * STREAM_STEP_SECONDS,
    )


def solve_mix(share: float) -> tuple[float, float]:
    """Return the fraction of report prompts for a prefill share, and the mean work."""
    report_prefill, report_decode = compute_mean_work(REPORT_PROMPTS)
    question_prefill, question_decode = compute_mean_work(QUESTION_PROMPTS)
    report, question = (
        report_prefill + report_decode,
        question_prefill + question_decode,
    )
    report_fraction = (share * question - question_prefill) / (
        report_prefill - question_prefill - share * (report - question)
    )
    report_fraction = min(1.0, max(0.0, report_fraction))
    return report_fraction, report_fraction * report + (1 - report_fraction) * question


def build_requests(
    phases: tuple[Phase, ...], deployment: Deployment, rng: np.random.Generator
) -> list[OfferedRequest]:
    """Return all requests of a scenario in order of arrival."""
    requests: list[OfferedRequest] = []
    start = 0.0
    for phase in phases:
        for second in range(int(phase.seconds)):
            position = second / phase.seconds
            share = phase.prefill_share_start + position * (
                phase.prefill_share_end - phase.prefill_share_start
            )
            report_fraction, work = solve_mix(round(share, 2))
            capacity = deployment.workers * ENGINE_CAPACITY
            count = rng.poisson(phase.load * capacity / work)
            calls = phase.load * deployment.service_workers * SERVICE_SLOTS
            service_count = rng.poisson(calls / MEAN_SERVICE_SECONDS)
            calls_of_second = [
                *draw_model_calls(count, report_fraction, phase, deployment, rng),
                *draw_service_calls(service_count, phase, deployment, rng),
            ]
            times = np.sort(rng.random(len(calls_of_second)))
            order = rng.permutation(len(calls_of_second))
            for time, index in zip(times, order, strict=True):
                at = start + second + float(time)
                request = calls_of_second[int(index)]
                number = len(requests)
                blocks = make_unshared_blocks_unique(request.blocks, number)
                requests.append(request._replace(number=number, at=at, blocks=blocks))
        start += phase.seconds
    return requests


def make_unshared_blocks_unique(
    blocks: tuple[int, ...], number: int
) -> tuple[int, ...]:
    """Return block hashes; those of unshared blocks, below 0, become unique."""
    return tuple(
        block if block >= 0 else (number + 1) * 1_000_000 - block for block in blocks
    )


def draw_customers(
    count: int, phase: Phase, deployment: Deployment, rng: np.random.Generator
) -> np.ndarray:
    """Return a random customer for each request, by weight or by shares in a flood."""
    weights = np.array(list(build_weights(deployment).values()))
    fractions = weights / weights.sum()
    if phase.flood:
        fractions = fractions * CALM_FRACTION / phase.load
        fractions[FLOODING_CUSTOMER] = 0.0
        fractions[FLOODING_CUSTOMER] = 1.0 - fractions.sum()
    return rng.choice(len(fractions), size=count, p=fractions)


def draw_model_calls(
    count: int,
    report_fraction: float,
    phase: Phase,
    deployment: Deployment,
    rng: np.random.Generator,
) -> list[OfferedRequest]:
    """Return model calls; their unshared blocks have hashes below 0."""
    customers = draw_customers(count, phase, deployment, rng)
    entries = rng.integers(0, deployment.entries, count)
    are_reports = rng.random(count) < report_fraction
    sizes = {
        True: draw_sizes(REPORT_PROMPTS, rng, count),
        False: draw_sizes(QUESTION_PROMPTS, rng, count),
    }
    shared = rng.random(count)
    prefixes = np.minimum(rng.geometric(0.5, count), MAX_PREFIXES)
    bounds = rng.uniform(1.2, 4.0, count)
    requests = []
    for index in range(count):
        is_report = bool(are_reports[index])
        distribution = REPORT_PROMPTS if is_report else QUESTION_PROMPTS
        prompts, outputs = sizes[is_report]
        unshared, output = int(prompts[index]), int(outputs[index])
        customer = int(customers[index])
        blocks: tuple[int, ...] = ()
        if shared[index] < distribution.shared_fraction:
            first = customer * 1000 + int(prefixes[index]) * 100 + 10 * is_report
            blocks = tuple(range(first, first + distribution.shared_blocks))
        prompt = unshared + len(blocks) * BLOCK_TOKENS
        blocks += tuple(
            -position for position in range(1, unshared // BLOCK_TOKENS + 1)
        )
        requests.append(
            OfferedRequest(
                number=0,
                at=0.0,
                customer=f"customer-{customer}",
                serves="model",
                entry=int(entries[index]),
                prompt_tokens=prompt,
                output_tokens=output,
                max_tokens=int(output * bounds[index]) + 1,
                blocks=blocks,
            )
        )
    return requests


def draw_service_calls(
    count: int, phase: Phase, deployment: Deployment, rng: np.random.Generator
) -> list[OfferedRequest]:
    """Return plain service calls, some of which must not be repeated."""
    customers = draw_customers(count, phase, deployment, rng)
    entries = rng.integers(0, deployment.entries, count)
    seconds = rng.exponential(MEAN_SERVICE_SECONDS, count)
    repeatable = rng.random(count) >= NONREPEATABLE_FRACTION
    return [
        OfferedRequest(
            number=0,
            at=0.0,
            customer=f"customer-{int(customers[index])}",
            serves="service",
            entry=int(entries[index]),
            service_seconds=float(seconds[index]),
            repeatable=bool(repeatable[index]),
        )
        for index in range(count)
    ]
