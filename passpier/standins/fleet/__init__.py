"""A simulated fleet without sockets: routing decisions, engines, traffic, and a virtual clock."""
