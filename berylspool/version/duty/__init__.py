"""Duties: who may make their calls, and what is due."""
