"""The control role: membership, moves, operators, updates to entries."""
