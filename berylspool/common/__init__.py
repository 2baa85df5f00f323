"""Building blocks of all layers: mailboxes, frames, log events, metrics."""
