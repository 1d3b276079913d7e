"""State of one backend server as known to an entry VM."""

from __future__ import annotations

from typing import NamedTuple


class BackendView(NamedTuple):
    """A backend server as input of the routing decision.

    The fields of the estimated load come last: ``LoadTable`` appends them.

    Attributes
    ----------
    name, data_centre, serves, role : str
        Identity, location, model or service, and engine role.
    reclaimable : bool
        Whether the platform may take it back at short notice.
    leaving : bool
        Whether it must get no new work.
    queued_prefill_tokens : float
        Prefill work that was reported or sent and is not known to be finished.
    running_streams : float
        Streams being generated, or calls in progress at a plain service.
    prefill_tokens_per_second : float
        Rate at which it processes uncached prompt tokens.
    max_streams : int
        Largest batch that stays within the target for the time between tokens.
    network_seconds : float
        One-way network delay from this entry VM.
    loaded : frozenset of str
        Adapters and versions that need no load from the weight store.
    call_seconds : float
        Mean duration of a call of a plain service.
    own_prefill_tokens, own_streams : float and int
        The part of the load that this entry VM caused.
    entry_vms : int
        Entry VMs whose work is known here, this one included; 0 if it is not known.
    """

    name: str
    data_centre: str
    serves: str
    role: str = "mixed"
    reclaimable: bool = False
    leaving: bool = False
    prefill_tokens_per_second: float = 8000.0
    max_streams: int = 64
    network_seconds: float = 0.0
    loaded: frozenset[str] = frozenset()
    call_seconds: float = 0.0
    queued_prefill_tokens: float = 0.0
    running_streams: float = 0.0
    own_prefill_tokens: float = 0.0
    own_streams: int = 0
    entry_vms: int = 0
