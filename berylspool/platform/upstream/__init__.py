"""Connections to the platform's upstreams, and what is read from them."""
