"""The testbed: emulated engines with an endpoint list, whole worlds on loopback, and an audit of each run."""
