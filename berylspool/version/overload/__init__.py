"""Rules for a pool that is asked for more than its upstreams serve."""
