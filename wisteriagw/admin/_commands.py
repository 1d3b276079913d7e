"""Table of the subcommands."""

from __future__ import annotations

from wisteriagw.admin._audit import AUDIT
from wisteriagw.admin._check import CHECK
from wisteriagw.admin._create_customer import CREATE_CUSTOMER
from wisteriagw.admin._drain import DRAIN
from wisteriagw.admin._end_drain import END_DRAIN
from wisteriagw.admin._explain import EXPLAIN
from wisteriagw.admin._fleet import FLEET
from wisteriagw.admin._give_key import GIVE_KEY
from wisteriagw.admin._publish import PUBLISH
from wisteriagw.admin._revision import REVISION
from wisteriagw.admin._usage import USAGE
from wisteriagw.admin._withdraw_key import WITHDRAW_KEY

COMMANDS = (
    CREATE_CUSTOMER,
    GIVE_KEY,
    WITHDRAW_KEY,
    CHECK,
    PUBLISH,
    DRAIN,
    END_DRAIN,
    FLEET,
    REVISION,
    EXPLAIN,
    AUDIT,
    USAGE,
)
