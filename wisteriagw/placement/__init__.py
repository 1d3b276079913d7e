"""Choice of the backend servers for a prompt, on one engine or split by stage."""

from __future__ import annotations

from wisteriagw.placement._cached_parts import CachedParts
from wisteriagw.placement._choice import choose_plan, choose_server
from wisteriagw.placement._engine_rates import EngineRates, update_rates
from wisteriagw.placement._plan import Plan
from wisteriagw.placement._prompt import Prompt
from wisteriagw.placement._server_view import ServerView
from wisteriagw.placement._work_table import WorkTable

__all__ = [
    "CachedParts",
    "EngineRates",
    "Plan",
    "Prompt",
    "ServerView",
    "WorkTable",
    "choose_plan",
    "choose_server",
    "update_rates",
]
