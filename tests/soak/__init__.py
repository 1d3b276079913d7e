"""Randomized soak of the real gateway program against the platform stand-in."""
