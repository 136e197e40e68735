"""Decision logic: pure functions and state without I/O."""
