"""Settings of the daemon and the schema file of the fleet, both validated."""
