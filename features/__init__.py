"""Scenarios of wisteriagw."""
