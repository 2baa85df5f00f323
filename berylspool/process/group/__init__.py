"""Raft group of the control nodes: consensus, storage, reconfiguration."""
