"""Tests of wisteriagw."""
