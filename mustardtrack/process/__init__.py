"""Assembly of the processes."""
