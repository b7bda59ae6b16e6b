"""Session migration: a gateway that shuts down hands each of its sessions to exactly one other gateway."""
