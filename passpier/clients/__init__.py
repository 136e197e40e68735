"""Clients of the outside systems, each behind a Protocol type."""
