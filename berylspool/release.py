"""Version number of this release."""

__all__ = ["VERSION"]

VERSION = "0.1.0"
