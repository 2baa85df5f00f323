"""What lives for a process: its tasks, its settings and their state."""
