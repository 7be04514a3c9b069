"""Makes the examples of property tests independent of the loaded modules.

Hypothesis collects constants from the sources of all loaded modules and uses
some of them in examples. An unrelated new module therefore changed all
examples, and an injected fault that had been detected was missed.
"""

from collections import abc
import contextlib
from unittest import mock

from hypothesis.internal import constants_ast
from hypothesis.internal.conjecture import providers


@contextlib.contextmanager
def without_source_constants() -> abc.Iterator[None]:
    """Keeps Hypothesis from using constants of loaded modules."""
    with mock.patch.object(
        providers, "_get_local_constants", constants_ast.Constants
    ):
        yield
