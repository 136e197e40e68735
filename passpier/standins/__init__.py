"""Small stand-ins for the external systems, used by tests and benchmarks only."""
