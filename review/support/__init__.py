"""Stand-ins and clients of the review's scripts, with the standard library only."""
