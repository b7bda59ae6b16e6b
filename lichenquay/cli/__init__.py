"""The command line: sub-commands on click. Exit codes: 0 well, 1 it failed, 2 it was called wrongly."""
