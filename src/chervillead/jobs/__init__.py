"""Decisions about jobs: plain functions over typed state, no network."""
