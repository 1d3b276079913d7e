"""Confirmation of this VM's copies by a relay's reads of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._fleet_feed import MIN_READ_INTERVAL_SECONDS

if TYPE_CHECKING:
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.messages import FleetUpdate

# Fractions of the time within which a change must be in force everywhere. A relay reads
# the store again after the first fraction. A VM whose last confirmation is older than
# the second reads the store itself, which leaves the rest for its read and for requests
# in flight.
RELAY_WAIT_FRACTION = 0.2
CONFIRMATION_AGE_FRACTION = 0.55


def set_confirmation_age(context: GatewayContext) -> None:
    """Accept relayed read confirmations within the platform's freshness bounds."""
    settings = context.settings
    context.configuration.follower.max_confirmation_age = (
        CONFIRMATION_AGE_FRACTION * settings.apply_seconds
    )
    context.fleet.follower.max_confirmation_age = (
        CONFIRMATION_AGE_FRACTION * settings.drain_seconds
    )


def set_read_waits(context: GatewayContext, serving: bool) -> None:
    """Read often enough for the VMs that this VM serves as a relay, if any."""
    settings = context.settings
    configuration, fleet = context.configuration.follower, context.fleet.follower
    if serving:
        configuration.wait = RELAY_WAIT_FRACTION * settings.apply_seconds
        fleet.wait = RELAY_WAIT_FRACTION * settings.drain_seconds
        fleet.min_read_interval = max(MIN_READ_INTERVAL_SECONDS, fleet.wait)
        return
    configuration.wait = configuration.default_wait
    fleet.wait = fleet.default_wait
    fleet.min_read_interval = MIN_READ_INTERVAL_SECONDS


def apply_read_confirmation(
    context: GatewayContext, update: FleetUpdate, earliest: float
) -> None:
    """Apply the reads of a relay where this VM has the same state.

    Parameters
    ----------
    earliest : float
        Earliest time at which the relay can have built its update. Clocks of VMs are
        not compared: the relay sends how long ago it received an update of this VM,
        whose sending time is known here.
    """
    configuration = context.configuration
    if (
        configuration.table
        and update.configuration_version == configuration.get_version()
    ):
        configuration.follower.confirm_read(earliest - update.configuration_age)
    if update.register_digest == context.fleet.compute_digest():
        context.fleet.follower.confirm_read(earliest - update.register_age)
