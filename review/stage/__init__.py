"""A small deployment on loopback for the scripts of the second review."""
