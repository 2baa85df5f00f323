"""The pool of one service at one version: its decisions and its task."""
