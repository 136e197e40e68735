"""Helpers shared by several sub-packages."""
