"""Topics of the platform's store."""

from __future__ import annotations

# Written by the operator; the newest configuration lies under one key.
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Written by the backend servers, each under its name.
REGISTER_TOPIC = "keyed.servers"
# Own topics. The newest record of each key is kept for good, the records of other
# topics for a limited time.
MEMBERS_TOPIC = "keyed.members"
AUTHORITY_TOPIC = "keyed.authority"
USAGE_TOPIC = "usage"
