"""Adapter to the users' platform.

Everything that names the platform's fields, headers and paths is here. Each
module decodes one interface into the project's types; nothing here decides.
"""
