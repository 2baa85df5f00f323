"""Randomized soak: real programs, faults from outside, an independent judge."""
