"""Demand of the callers of all entry VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from wisteriagw.control._vm_demand import VmDemand
from wisteriagw.roles import Demand

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

DEMAND_VALID_SECONDS = 20.0
# Callers of a VM that fails go to the others, so some may be silent; a sum over fewer
# than half of the VMs would look like a drop of the demand.
LEAST_PART_HEARD = 0.5
RATES = ("prefill_tokens_per_second", "decode_tokens_per_second")


def read_vm_demand(fields: Any, read_at: float) -> VmDemand | None:
    """Return the demand in an answer, or None if it is not valid."""
    try:
        models = {
            model: tuple(float(rates[name]) for name in RATES)
            for model, rates in fields["models"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
    for rates in models.values():
        if not all(math.isfinite(rate) and rate >= 0.0 for rate in rates):
            return None
    return VmDemand(read_at, models)


def sum_demand(
    vms: Collection[str], known: Mapping[str, VmDemand], now: float
) -> dict[str, Demand] | None:
    """Return the demand by model, or None if too few VMs were heard of late.

    Parameters
    ----------
    vms : collection of str
        Entry VMs on the VM list.
    known : mapping of str to VmDemand
        Last answer by VM.
    now : float
        Time in seconds.
    """
    fresh = []
    for vm in vms:
        demand = known.get(vm)
        if demand is not None and now - demand.read_at <= DEMAND_VALID_SECONDS:
            fresh.append(demand)
    if not fresh or len(fresh) < LEAST_PART_HEARD * len(vms):
        return None
    at = min(demand.read_at for demand in fresh)
    totals: dict[str, Demand] = {}
    for demand in fresh:
        for model, (prefill, decode) in demand.models.items():
            total = totals.get(model, Demand(at=at))
            totals[model] = Demand(total[0] + prefill, total[1] + decode, at)
    return totals
