"""Choice of the backend servers for a prompt, on one engine or split by stage."""

from __future__ import annotations

from wisteriagw.placement._backup_choice import choose_backup
from wisteriagw.placement._cached_parts import CachedParts
from wisteriagw.placement._choice import choose_plan, choose_server
from wisteriagw.placement._engine_rates import (
    EngineRates,
    update_rates,
    update_stream_seconds,
)
from wisteriagw.placement._load_admission import (
    QueueTerms,
    find_patience,
    find_queue_limit,
    find_queue_return,
    is_queue_too_long,
    is_returning,
    spread_return,
)
from wisteriagw.placement._plan import Plan
from wisteriagw.placement._prompt import Prompt
from wisteriagw.placement._server_view import ServerView
from wisteriagw.placement._urgent_views import (
    find_reserved,
    omit_less_urgent,
    view_as_urgent,
)
from wisteriagw.placement._work_table import WorkTable

__all__ = [
    "CachedParts",
    "EngineRates",
    "Plan",
    "Prompt",
    "QueueTerms",
    "ServerView",
    "WorkTable",
    "choose_backup",
    "choose_plan",
    "choose_server",
    "find_patience",
    "find_queue_limit",
    "find_queue_return",
    "find_reserved",
    "is_queue_too_long",
    "is_returning",
    "omit_less_urgent",
    "spread_return",
    "update_rates",
    "update_stream_seconds",
    "view_as_urgent",
]
