"""The entry roles: routing of parts, and the client of control."""
