"""The daemon: tasks that own sockets and timers round the core."""
