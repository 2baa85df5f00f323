"""Customers of a plan, their API keys, and who sent a request."""
