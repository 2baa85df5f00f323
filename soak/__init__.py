"""Randomized soak tests with injected faults and a separate checker."""
