"""Decision about a stream whose engine connection was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.retries._stream_step import StreamStep

if TYPE_CHECKING:
    from wisteriagw.retries._stream_loss import StreamLoss


def decide_stream_step(loss: StreamLoss) -> StreamStep:
    """Return the next step; resuming at the same engine is preferred."""
    if loss.engine_may_hold_generation and loss.resumes_left > 0:
        return StreamStep.RESUME
    if not loss.may_retry:
        return StreamStep.END
    if not loss.sent_tokens:
        return StreamStep.RESTART
    if loss.may_continue:
        return StreamStep.CONTINUE
    return StreamStep.END
