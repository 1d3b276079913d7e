"""Authority of one process at a time, through conditional appends to the store."""

from __future__ import annotations

from wisteriagw.authority._decisions import decide_turn, find_end
from wisteriagw.authority._grant import Grant
from wisteriagw.authority._turn import Turn

__all__ = ["Grant", "Turn", "decide_turn", "find_end"]
