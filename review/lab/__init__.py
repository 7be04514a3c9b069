"""Processes and stand-ins that the review's scripts share."""
