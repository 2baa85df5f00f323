"""The control role: membership, moves, operators, and what entries get."""
