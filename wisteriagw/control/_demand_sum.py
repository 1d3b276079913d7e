"""Sum of the demand of all entry VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from wisteriagw.control._vm_demand import VmDemand
from wisteriagw.roles import Demand

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

DEMAND_VALID_SECONDS = 20.0
# Callers of a failed VM move to the others, so some VMs may be missing; a sum over
# fewer than half of the VMs would look like a drop in demand.
MIN_FRESH_VM_SHARE = 0.5
RATE_KEYS = ("prefill_tokens_per_second", "decode_tokens_per_second")


def parse_vm_demand(fields: Any, read_at: float) -> VmDemand | None:
    """Return the demand in a response, or None if it is not valid."""
    try:
        models = {
            model: tuple(float(rates[name]) for name in RATE_KEYS)
            for model, rates in fields["models"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
    for rates in models.values():
        if not all(math.isfinite(rate) and rate >= 0.0 for rate in rates):
            return None
    return VmDemand(read_at, models)


def sum_demand(
    vms: Collection[str], last_demands: Mapping[str, VmDemand], now: float
) -> dict[str, Demand] | None:
    """Return the demand by model, or None if too few VMs responded recently.

    Parameters
    ----------
    vms : collection of str
        Entry VMs on the VM list.
    last_demands : mapping of str to VmDemand
        Last response by VM.
    now : float
        Time in seconds.
    """
    fresh = []
    for vm in vms:
        demand = last_demands.get(vm)
        if demand is not None and now - demand.read_at <= DEMAND_VALID_SECONDS:
            fresh.append(demand)
    if not fresh or len(fresh) < MIN_FRESH_VM_SHARE * len(vms):
        return None
    at = min(demand.read_at for demand in fresh)
    totals: dict[str, Demand] = {}
    for demand in fresh:
        for model, (prefill, decode) in demand.models.items():
            total = totals.get(model, Demand(at=at))
            totals[model] = Demand(total[0] + prefill, total[1] + decode, at)
    return totals
