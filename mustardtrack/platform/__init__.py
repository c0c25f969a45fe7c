"""Wire formats of the users' platform; contains no routing decisions."""
