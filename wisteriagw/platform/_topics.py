"""Topics of the platform's store."""

from __future__ import annotations

# Written by the operator; the newest configuration is stored under one key.
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Written by the backend servers, each under its own name.
REGISTER_TOPIC = "keyed.servers"
# Topics of this system. Keyed topics keep the newest record of each key indefinitely;
# other topics keep records for a limited time.
MEMBERS_TOPIC = "keyed.members"
AUTHORITY_TOPIC = "keyed.authority"
USAGE_TOPIC = "usage"
QUARANTINES_TOPIC = "keyed.quarantines"
REPORTS_TOPIC = "keyed.reports"
