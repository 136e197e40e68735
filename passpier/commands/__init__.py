"""The command line; thin functions that parse arguments and call a daemon."""
