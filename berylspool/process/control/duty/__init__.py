"""Duties of the control leader and the task of their calls."""
