"""Hosts of workers, as the machines service runs them: waves and pools."""
