"""Hosts that run workers: their maintenance and moves between pools."""
