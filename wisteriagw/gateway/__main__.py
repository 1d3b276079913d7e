"""Entry point of ``python -m wisteriagw.gateway``."""

from __future__ import annotations

from wisteriagw.gateway import main

main()
