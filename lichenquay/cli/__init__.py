"""The command line interface. Exit codes: 0 success, 1 failure, 2 invalid usage."""
