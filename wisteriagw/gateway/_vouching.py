"""Reads of the store that a relay vouches for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._fleet_feed import PACE_SECONDS

if TYPE_CHECKING:
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.messages import FleetUpdate

# Parts of the time in which a change must be in force everywhere. A relay asks the
# store again after the first part; a VM that was told of no read since the second part
# reads by itself, which leaves the rest for its read and for requests on their way.
RELAY_WAIT_PART = 0.2
HOLD_PART = 0.55


def set_hold(context: GatewayContext) -> None:
    """Let reads of relays stand for own ones within the platform's bounds."""
    settings = context.settings
    context.configuration.follower.hold = HOLD_PART * settings.apply_seconds
    context.fleet.follower.hold = HOLD_PART * settings.drain_seconds


def set_waits(context: GatewayContext, serving: bool) -> None:
    """Read often enough for the VMs that rely on this one, if there are any."""
    settings = context.settings
    configuration, fleet = context.configuration.follower, context.fleet.follower
    if serving:
        configuration.wait = RELAY_WAIT_PART * settings.apply_seconds
        fleet.wait = RELAY_WAIT_PART * settings.drain_seconds
        fleet.pace = max(PACE_SECONDS, fleet.wait)
        return
    configuration.wait = configuration.usual_wait
    fleet.wait = fleet.usual_wait
    fleet.pace = PACE_SECONDS


def take_vouched_reads(
    context: GatewayContext, news: FleetUpdate, earliest: float
) -> None:
    """Take the reads of a relay where this VM believes the same.

    Parameters
    ----------
    earliest : float
        Time before which the relay has not written its message. Clocks of VMs are not
        compared: the relay tells how long it had known of a message of this VM, whose
        time of sending is known here.
    """
    table = context.configuration.table
    version = -1 if table is None else table.version
    if news.configuration_version == version:
        context.configuration.follower.vouch(earliest - news.configuration_age)
    elif news.configuration_version > version:
        context.configuration.follower.hurry()
    if news.register_digest == context.fleet.compute_digest():
        context.fleet.follower.vouch(earliest - news.register_age)
