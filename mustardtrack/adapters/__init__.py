"""Implementations of the ports on the network, the disk and the system clock."""
