"""Entry processes: routing of parts and the client of the control nodes."""
