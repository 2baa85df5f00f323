"""The forwarding entry, which passes callers' requests on to upstreams."""
