"""Objects with the lifetime of a process: tasks, settings, their state."""
