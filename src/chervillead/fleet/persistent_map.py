"""Persistent mapping: changed copies share the unchanged entries.

The fold yields a state after each record. With dictionaries, each change of a
host would copy all hosts; with this mapping it copies only the recent changes,
whose number grows with the square root of the fleet's size.
"""

from collections import abc
import math
import typing

# Up to this many changes, copying them costs less than merging.
MIN_CHANGES = 64

_Key = typing.TypeVar("_Key")
_Value = typing.TypeVar("_Value")


class _Removed:
    """Marker for a key of the shared dictionary that a change removed."""


_REMOVED = _Removed()


class PersistentMap(abc.Mapping[_Key, _Value]):
    """An immutable mapping in insertion order with cheap changed copies.

    It consists of a dictionary that copies share and of the changes since. The
    changes are merged into a new dictionary once there are more than
    `MIN_CHANGES` and more than twice the square root of the size. This bounds
    the entries copied for each change and the amortized cost of merging.
    """

    __slots__ = ("_base", "_changes", "_length")

    def __init__(
        self, entries: abc.Mapping[_Key, _Value] | None = None
    ) -> None:
        self._base: dict[_Key, _Value] = dict(entries or {})
        self._changes: dict[_Key, _Value | _Removed] = {}
        self._length = len(self._base)

    def with_entry(
        self, key: _Key, value: _Value
    ) -> "PersistentMap[_Key, _Value]":
        """Returns a copy in which `key` has `value`."""
        if self._changes.get(key) is _REMOVED:
            # A key that is added again after its removal goes to the end, as
            # in a dictionary.
            self._merge()
        return self._copy_with_change(
            key, value, self._length + (key not in self)
        )

    def without(self, key: _Key) -> "PersistentMap[_Key, _Value]":
        """Returns a copy without `key`; the map itself if `key` is missing."""
        if key not in self:
            return self
        return self._copy_with_change(key, _REMOVED, self._length - 1)

    def _copy_with_change(
        self, key: _Key, value: _Value | _Removed, length: int
    ) -> "PersistentMap[_Key, _Value]":
        copy: PersistentMap[_Key, _Value] = PersistentMap()
        copy._base = self._base
        copy._changes = self._changes.copy()
        if value is _REMOVED and key not in self._base:
            del copy._changes[key]
        else:
            copy._changes[key] = value
        copy._length = length
        if len(copy._changes) > max(MIN_CHANGES, 2 * math.isqrt(length)):
            copy._merge()
        return copy

    def _merge(self) -> None:
        """Replaces the shared dictionary by a copy that has the changes."""
        if not self._changes:
            return
        merged = self._base.copy()
        for key, value in self._changes.items():
            if isinstance(value, _Removed):
                del merged[key]
            else:
                merged[key] = value
        self._base, self._changes = merged, {}

    def __getitem__(self, key: _Key) -> _Value:
        if key not in self._changes:
            return self._base[key]
        value = self._changes[key]
        if isinstance(value, _Removed):
            raise KeyError(key)
        return value

    def __contains__(self, key: object) -> bool:
        if key not in self._changes:
            return key in self._base
        return self._changes[key] is not _REMOVED

    def __iter__(self) -> abc.Iterator[_Key]:
        self._merge()
        return iter(self._base)

    def __len__(self) -> int:
        return self._length

    def items(self) -> abc.ItemsView[_Key, _Value]:
        """Returns a view of the entries in insertion order."""
        self._merge()
        return self._base.items()

    def values(self) -> abc.ValuesView[_Value]:
        """Returns a view of the values in insertion order."""
        self._merge()
        return self._base.values()

    def __repr__(self) -> str:
        return f"PersistentMap({dict(self.items())!r})"


def as_persistent(
    entries: abc.Mapping[_Key, _Value],
) -> PersistentMap[_Key, _Value]:
    """Returns `entries` itself if it is a persistent map, otherwise a copy."""
    if isinstance(entries, PersistentMap):
        return entries
    return PersistentMap(entries)
