"""Writer of the checkpoints of one stream."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.checkpoints import is_checkpoint_due, split_state
from wisteriagw.clients import LogUnavailableError
from wisteriagw.records import encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.checkpoints import Retention
    from wisteriagw.clients import LogClient
    from wisteriagw.follower._stream_follower import StreamFollower

logger = logging.getLogger(__name__)


class CheckpointWriter:
    """Appends checkpoints of a follower's state to its stream when they are due.

    Concurrent writers are harmless: a checkpoint depends only on the records of the
    log, and its digest distinguishes its parts from those of another one.
    """

    def __init__(
        self,
        client: LogClient,
        follower: StreamFollower,
        retention: Retention,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._follower = follower
        self._retention = retention
        self._clock = clock
        self._writing = False

    @inlineCallbacks
    def write_if_due(self) -> Generator[Deferred[Any], Any, bool]:
        """Write a checkpoint if one is due; return whether all its parts were written.

        A part whose append fails or gets no reply ends the attempt. The next attempt
        starts over with the state that is current then.
        """
        follower = self._follower
        if self._writing or follower.state_incomplete:
            return False
        if not is_checkpoint_due(follower.progress, self._retention, self._clock()):
            return False
        through = follower.next_offset - 1
        data = follower.codec.encode(follower.state)
        self._writing = True
        try:
            for part in split_state(follower.codec.fold, through, data):
                yield self._client.append(follower.stream, encode_record(part))
        except LogUnavailableError as error:
            logger.warning("checkpoint through %d was not written: %s", through, error)
            return False
        finally:
            self._writing = False
        return True
