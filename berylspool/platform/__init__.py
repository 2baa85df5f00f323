"""Adapter to the external platform that deploys the query tier.

It translates between the platform's formats and the types of the project, and
makes no decisions.  The platform's header names, JSON keys, paths and state
words appear in this folder only; each message is decoded once.
"""
