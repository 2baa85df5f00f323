"""What every life span shares: mailboxes, frames, log events, sums."""
