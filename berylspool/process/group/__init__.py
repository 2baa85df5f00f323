"""The replicated group of control nodes: consensus, disk and repair."""
