"""The decisions: pure functions and state, without input or output."""
