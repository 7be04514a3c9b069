"""Property tests that draw the same orders whatever modules are loaded.

The library collects numbers and texts from the sources of all loaded modules
and draws some of them. An unrelated new module so changed every drawn order,
and a planted fault that had been found was not found any more.
"""

from collections import abc
import contextlib
from unittest import mock

from hypothesis.internal import constants_ast
from hypothesis.internal.conjecture import providers


@contextlib.contextmanager
def without_source_constants() -> abc.Iterator[None]:
    """Draws nothing from the sources of loaded modules meanwhile."""
    with mock.patch.object(
        providers, "_get_local_constants", constants_ast.Constants
    ):
        yield
