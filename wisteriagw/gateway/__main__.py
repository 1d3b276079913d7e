"""Start of the gateway as a module."""

from __future__ import annotations

from wisteriagw.gateway import main

main()
