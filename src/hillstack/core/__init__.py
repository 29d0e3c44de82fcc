"""Decisions of a node: no I/O, no clock, no randomness of their own."""
