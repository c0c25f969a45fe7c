"""Wire formats of the hosting platform; contains no routing decisions."""
