"""Assembly of the daemon processes from their components."""
