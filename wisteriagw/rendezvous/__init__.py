"""Rendezvous hashing."""

from __future__ import annotations

from wisteriagw.rendezvous._rendezvous import rank_names

__all__ = ["rank_names"]
