"""Human-readable form of the answer to a change."""

from __future__ import annotations

from typing import Any


def format_change(answer: dict[str, Any]) -> str:
    """Return the revision, its propagation state and the other fields of the answer."""
    state = "in force" if answer["in_force"] else "accepted"
    if not answer["accepted"]:
        state = "in the log, but not accepted by a majority of the VMs yet"
    lines = [f"revision {answer['revision']}: {state}"]
    if answer["unconfirmed"]:
        lines.append(f"not confirmed by: {', '.join(answer['unconfirmed'])}")
    shown = ("revision", "accepted", "in_force", "unconfirmed")
    lines += [f"{name}: {value}" for name, value in answer.items() if name not in shown]
    return "\n".join(lines)
