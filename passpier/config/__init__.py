"""The validated settings of the daemon and the schema file of the fleet."""
