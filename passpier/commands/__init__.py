"""The command line: thin functions that parse and call on."""
