"""Crashes of engines and the prompt parts that were open at them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from wisteriagw.crashes._signature_search import find_signatures

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.crashes._signature import Signature

# A part that crashes one engine in several minutes is still found.
MEMORY_SECONDS = 600.0
# Bounds of the memory; the entries updated least recently are dropped first.
MAX_CRASHES = 256
MAX_PARTS = 4_096
# Longer ids, which only a caller could mean to fill the memory with, are not tracked.
MAX_PART_LENGTH = 64
NEVER = float("-inf")


class CrashHistory:
    """Suspects by part, cleared by each sound answer.

    A part that crashes engines has no sound answer. One that was open at a crash by
    chance gets one soon, here or on another VM.
    """

    def __init__(self) -> None:
        self._crashed_at: OrderedDict[str, float] = OrderedDict()
        self._suspects: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        self._last_crash_at: OrderedDict[str, float] = OrderedDict()

    def add_crash(
        self, crash: str, at: float, parts: Iterable[str], came_at: float
    ) -> None:
        """Record parts that were open at a crash, unless they were answered since.

        Parameters
        ----------
        crash : str
            Name of the crash.
        at, came_at : float
            Times of the crash and of the arrival of the request with the parts.
        parts : iterable of str
            Parts of one request.
        """
        known = self._crashed_at.pop(crash, at)
        self._crashed_at[crash] = min(at, known)
        for part in parts:
            if len(part) > MAX_PART_LENGTH:
                continue
            last = self._last_crash_at.pop(part, at)
            self._last_crash_at[part] = max(at, last)
            if self.get_sound_time(part) >= self._crashed_at[crash]:
                continue
            crashes = self._suspects.setdefault(part, {})
            crashes[crash] = max(came_at, crashes.get(crash, came_at))
            self._suspects.move_to_end(part)
        self._trim()

    def add_sound_answer(self, part: str, at: float) -> None:
        """Record that an answer on a part was written and its engine runs on."""
        if len(part) > MAX_PART_LENGTH:
            return
        self._sound_at[part] = max(at, self._sound_at.pop(part, at))
        if len(self._sound_at) > MAX_PARTS:
            self._sound_at.popitem(last=False)
        crashes = self._suspects.get(part)
        if crashes is None:
            return
        for crash in list(crashes):
            if self._crashed_at[crash] <= at:
                del crashes[crash]
        if not crashes:
            del self._suspects[part]

    def get_sound_time(self, part: str) -> float:
        """Return the time of the last sound answer, minus infinity if none is known."""
        return self._sound_at.get(part, NEVER)

    def get_crash_time(self, part: str) -> float:
        """Return the time of the last crash a part was open at, or minus infinity."""
        return self._last_crash_at.get(part, NEVER)

    def has_suspects(self) -> bool:
        """Return whether any part was open at a crash since its last sound answer."""
        return bool(self._suspects)

    def count_crashes(self, part: str) -> int:
        """Return the number of crashes since the part's last sound answer."""
        return len(self._suspects.get(part, ()))

    def find_signatures(self) -> list[Signature]:
        """Return the parts that explain the crashes."""
        return find_signatures(self._suspects, self._crashed_at, self._sound_at)

    def expire(self, now: float) -> None:
        """Forget what is older than ``MEMORY_SECONDS``."""
        before = now - MEMORY_SECONDS
        for crash, at in list(self._crashed_at.items()):
            if at < before:
                self._forget_crash(crash)
        for times in (self._sound_at, self._last_crash_at):
            for part, at in list(times.items()):
                if at < before:
                    del times[part]

    def _trim(self) -> None:
        while len(self._crashed_at) > MAX_CRASHES:
            self._forget_crash(next(iter(self._crashed_at)))
        while len(self._suspects) > MAX_PARTS:
            self._suspects.popitem(last=False)
        while len(self._last_crash_at) > MAX_PARTS:
            self._last_crash_at.popitem(last=False)

    def _forget_crash(self, crash: str) -> None:
        del self._crashed_at[crash]
        for part, crashes in list(self._suspects.items()):
            crashes.pop(crash, None)
            if not crashes:
                del self._suspects[part]
