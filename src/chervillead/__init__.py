"""Fleet capacity and maintenance manager: daemons and the library under them.

Modules are imported from their packages, for example::

    from chervillead import client
    from chervillead.fleet import fold

For embedders: `client` submits requests as a caller does, `types` and
`verdicts` hold the values and errors, `fleet.fold` folds records,
`burn_rates` computes burn rates from counts, and `settings` checks the settings
of an entry host.
The modules of an entry host (`assembly`, `daemon`, `command_line`) and those
that aren't named here may change without notice.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
