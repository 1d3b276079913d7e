"""Properties of the model engines of a service."""

from __future__ import annotations

from typing import NamedTuple


class EngineTraits(NamedTuple):
    """Configured properties of a service's engines.

    Attributes
    ----------
    slots : int
        Requests that an engine runs at once.
    capacity_tokens : int
        Tokens that fit into an engine's KV cache.
    token_bytes : int
        Size of a token's KV cache.
    link_mbps : float
        Rate of transfers between engines.
    handle_ttl : float
        Seconds for which a prefilled KV cache is kept for another engine.
    stage_switch_seconds : float
        Time for which a change of stage makes an engine unavailable.
    keeps_backups : bool
        Whether an engine can keep a copy of the KV cache of another engine's run and
        continue the run from it.
    moves_runs : bool
        Whether an engine can stop a run and move its KV cache to another engine.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    link_mbps: float
    handle_ttl: float
    stage_switch_seconds: float
    keeps_backups: bool = False
    moves_runs: bool = False
