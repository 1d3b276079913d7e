"""Choice of the VMs that pass messages on for others, as decisions without I/O."""

from __future__ import annotations

from wisteriagw.relays._answer_watch import AnswerWatch
from wisteriagw.relays._choice import choose_relays
from wisteriagw.relays._link_choice import choose_links
from wisteriagw.relays._links import Links

__all__ = ["AnswerWatch", "Links", "choose_links", "choose_relays"]
