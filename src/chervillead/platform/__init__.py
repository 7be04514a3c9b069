"""Adapter to the users' platform.

This is the only package that uses the platform's field names, headers and
paths. Each module decodes one of its interfaces into the project's types;
decisions are made elsewhere.
"""
