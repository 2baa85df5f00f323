"""Counting of the requests of customers at an entry."""
