"""Adapter to the users' platform: the only place that knows its paths, headers, keys and fields."""
