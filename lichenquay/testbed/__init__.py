"""The laboratory: engines, a bulletin and whole worlds on loopback, and an audit of what happened in them."""
