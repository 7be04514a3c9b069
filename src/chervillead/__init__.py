"""Fleet capacity and maintenance manager: daemons and the library under them.

Modules are imported from their packages, for example::

    from chervillead.platform import fold
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
