"""Offers of the fake callers."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import numpy as np

from wisteriagw.measure._engine_role_model import (
    CAPACITY,
    PREFILL_TOKEN_SECONDS,
    STREAM_STEP_SECONDS,
)
from wisteriagw.measure._fake_service import MEAN_SERVICE_SECONDS, SERVICE_SLOTS
from wisteriagw.measure._kind import Kind
from wisteriagw.measure._offer import Offer

if TYPE_CHECKING:
    from wisteriagw.measure._deployment import Deployment
    from wisteriagw.measure._phase import Phase

BLOCK = 1000
LARGE_CUSTOMERS = 2
LARGE_WEIGHT = 3.0
FLOODING = 0
# Part of its share that each of the other customers offers during a flood.
CALM_PART = 0.7
PREFIXES = 4
ONCE_PART = 0.3
SAMPLE = 20_000


REPORT = Kind(3500.0, 0.9, 16_000, 0.9, 3, 50.0, 0.6, 400)
QUESTION = Kind(200.0, 0.8, 2_000, 0.5, 1, 180.0, 0.7, 1_500)


def build_weights(deployment: Deployment) -> dict[str, float]:
    """Return the weight of each customer; a few are large."""
    return {
        f"customer-{index}": LARGE_WEIGHT if index < LARGE_CUSTOMERS else 1.0
        for index in range(deployment.customers)
    }


def draw_sizes(
    kind: Kind, rng: np.random.Generator, count: int
) -> tuple[np.ndarray, np.ndarray]:
    """Return unshared prompt lengths and output lengths."""
    prompts = kind.median_prompt * rng.lognormal(0.0, kind.prompt_sigma, count)
    outputs = kind.median_output * rng.lognormal(0.0, kind.output_sigma, count)
    return (
        np.clip(prompts, 10, kind.longest_prompt).astype(int),
        np.clip(outputs, 2, kind.longest_output).astype(int),
    )


@cache
def measure_kind(kind: Kind) -> tuple[float, float]:
    """Return the mean engine seconds of prefill and decode with a perfect cache."""
    prompts, outputs = draw_sizes(kind, np.random.default_rng(0), SAMPLE)
    return (
        float(prompts.mean()) * PREFILL_TOKEN_SECONDS,
        float(outputs.mean()) * STREAM_STEP_SECONDS,
    )


def solve_mix(share: float) -> tuple[float, float]:
    """Return the part of reports for a prefill share, and the mean work."""
    report_prefill, report_decode = measure_kind(REPORT)
    question_prefill, question_decode = measure_kind(QUESTION)
    report, question = (
        report_prefill + report_decode,
        question_prefill + question_decode,
    )
    part = (share * question - question_prefill) / (
        report_prefill - question_prefill - share * (report - question)
    )
    part = min(1.0, max(0.0, part))
    return part, part * report + (1 - part) * question


def build_offers(
    phases: tuple[Phase, ...], deployment: Deployment, rng: np.random.Generator
) -> list[Offer]:
    """Return all offers of a scenario in order of arrival."""
    offers: list[Offer] = []
    start = 0.0
    for phase in phases:
        for second in range(int(phase.seconds)):
            place = second / phase.seconds
            share = phase.share_from + place * (phase.share_to - phase.share_from)
            part, work = solve_mix(round(share, 2))
            capacity = deployment.workers * CAPACITY
            count = rng.poisson(phase.load * capacity / work)
            calls = phase.load * deployment.service_workers * SERVICE_SLOTS
            service_count = rng.poisson(calls / MEAN_SERVICE_SECONDS)
            second_offers = [
                *draw_model_offers(count, part, phase, deployment, rng),
                *draw_service_offers(service_count, phase, deployment, rng),
            ]
            times = np.sort(rng.random(len(second_offers)))
            order = rng.permutation(len(second_offers))
            for time, index in zip(times, order, strict=True):
                at = start + second + float(time)
                offer = second_offers[int(index)]
                number = len(offers)
                blocks = number_blocks(offer.blocks, number)
                offers.append(offer._replace(number=number, at=at, blocks=blocks))
        start += phase.seconds
    return offers


def number_blocks(blocks: tuple[int, ...], number: int) -> tuple[int, ...]:
    """Return the hashes with those of the unshared blocks made unique."""
    return tuple(
        block if block >= 0 else (number + 1) * 1_000_000 - block for block in blocks
    )


def draw_customers(
    count: int, phase: Phase, deployment: Deployment, rng: np.random.Generator
) -> np.ndarray:
    """Return the customers of some offers, by weight or as in a flood."""
    weights = np.array(list(build_weights(deployment).values()))
    parts = weights / weights.sum()
    if phase.flood:
        parts = parts * CALM_PART / phase.load
        parts[FLOODING] = 0.0
        parts[FLOODING] = 1.0 - parts.sum()
    return rng.choice(len(parts), size=count, p=parts)


def draw_model_offers(
    count: int,
    part: float,
    phase: Phase,
    deployment: Deployment,
    rng: np.random.Generator,
) -> list[Offer]:
    """Return model calls; their unshared blocks have hashes below 0."""
    customers = draw_customers(count, phase, deployment, rng)
    entries = rng.integers(0, deployment.entries, count)
    kinds = rng.random(count) < part
    sizes = {
        True: draw_sizes(REPORT, rng, count),
        False: draw_sizes(QUESTION, rng, count),
    }
    shared = rng.random(count)
    prefixes = np.minimum(rng.geometric(0.5, count), PREFIXES)
    bounds = rng.uniform(1.2, 4.0, count)
    offers = []
    for index in range(count):
        is_report = bool(kinds[index])
        kind = REPORT if is_report else QUESTION
        prompts, outputs = sizes[is_report]
        unshared, output = int(prompts[index]), int(outputs[index])
        customer = int(customers[index])
        blocks: tuple[int, ...] = ()
        if shared[index] < kind.shared_part:
            first = customer * 1000 + int(prefixes[index]) * 100 + 10 * is_report
            blocks = tuple(range(first, first + kind.shared_blocks))
        prompt = unshared + len(blocks) * BLOCK
        blocks += tuple(-place for place in range(1, unshared // BLOCK + 1))
        offers.append(
            Offer(
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
    return offers


def draw_service_offers(
    count: int, phase: Phase, deployment: Deployment, rng: np.random.Generator
) -> list[Offer]:
    """Return plain service calls, some of which must not repeat."""
    customers = draw_customers(count, phase, deployment, rng)
    entries = rng.integers(0, deployment.entries, count)
    seconds = rng.exponential(MEAN_SERVICE_SECONDS, count)
    repeatable = rng.random(count) >= ONCE_PART
    return [
        Offer(
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
