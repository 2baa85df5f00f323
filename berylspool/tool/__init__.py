"""Command line and its tools.

Operator client, stand-in upstreams, load generator and timelines of requests
from log files.
"""
