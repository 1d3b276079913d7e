"""Search for the prompt parts that explain crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.crashes._signature import Signature

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# A part that is open at one or two crashes is likely there by chance: a lost engine has
# many prompts open, and a retry of one of them may meet the next crash.
MIN_CRASHES = 3
# Crashes within this time count as one, unless the request came to the engine after the
# crash before. A data centre or a rack takes several engines at once, and a common part
# is then open on each of them.
SIMULTANEOUS_SECONDS = 0.2


def find_signatures(
    suspects: Mapping[str, Mapping[str, float]],
    crashed_at: Mapping[str, float],
    answered: Collection[str] = (),
) -> list[Signature]:
    """Return the parts that explain the crashes, those of most crashes first.

    A crash is explained once: another part that was open at it by chance needs
    ``MIN_CRASHES`` crashes besides.

    Parameters
    ----------
    suspects : mapping
        Crashes by part that have happened since the part's last sound answer, with the
        time at which a request with the part came to the engine.
    crashed_at : mapping
        Time of each crash in seconds.
    answered : collection of str
        Parts that have had a sound answer before; the others are preferred.
    """
    left = {
        part: frozenset(crashes)
        for part, crashes in suspects.items()
        if len(crashes) >= MIN_CRASHES
    }
    signatures = []
    while True:
        best = find_best(left, suspects, crashed_at, answered)
        if best is None:
            return signatures
        crashes = left[best]
        parts = frozenset(
            part
            for part, others in left.items()
            if others == crashes and (part in answered) == (best in answered)
        )
        first_at = min(crashed_at[crash] for crash in crashes)
        signatures.append(Signature(parts, crashes, first_at))
        left = {part: others - crashes for part, others in left.items()}


def find_best(
    left: Mapping[str, frozenset[str]],
    suspects: Mapping[str, Mapping[str, float]],
    crashed_at: Mapping[str, float],
    answered: Collection[str],
) -> str | None:
    """Return the part that explains most crashes, or None if none explains enough."""
    best, best_rank = None, (False, 0)
    for part in sorted(left):
        crashes, came_at = left[part], suspects[part]
        times = ((crashed_at[crash], came_at[crash]) for crash in crashes)
        if len(crashes) < MIN_CRASHES or count_separate(times) < MIN_CRASHES:
            continue
        rank = (part not in answered, len(crashes))
        if best is None or rank > best_rank:
            best, best_rank = part, rank
    return best


def count_separate(times: Iterable[tuple[float, float]]) -> int:
    """Return the number of crashes, counting simultaneous ones as one.

    Parameters
    ----------
    times : iterable of tuple
        Times of the crash and of the arrival of the request that was open at it.
    """
    count, last = 0, float("-inf")
    for crashed_at, came_at in sorted(times):
        if crashed_at - last <= SIMULTANEOUS_SECONDS and came_at < last:
            continue
        count, last = count + 1, crashed_at
    return count
