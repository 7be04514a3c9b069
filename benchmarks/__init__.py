"""Benchmarks of the users' measures, with bounds as ratios and counts."""
