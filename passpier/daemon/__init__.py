"""The daemon: sockets, timers and background tasks around the core."""
