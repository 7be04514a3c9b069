"""Slopes of the capacity page, by the peer that the measured code serves."""
