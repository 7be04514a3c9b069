"""A mapping whose changed copies share what did not change.

The fold hands out a state after each record. With plain dictionaries each of
them would copy all hosts; with this mapping a change copies a few dozen
entries, whatever the size of the fleet.
"""

from collections import abc
import math
import typing

# Below this many changes, copying them costs less than the bookkeeping.
MIN_CHANGES = 64

_Key = typing.TypeVar("_Key")
_Value = typing.TypeVar("_Value")


class _Removed:
    """Marks a key of the shared part that a change removed."""


_REMOVED = _Removed()


class PersistentMap(abc.Mapping[_Key, _Value]):
    """An immutable mapping in insertion order with cheap changed copies.

    It holds a large dictionary that copies share and the changes since. The
    changes are merged when they exceed about twice the square root of the
    size, which bounds both the part copied for each change and the cost of
    merging spread over the changes.
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
            # A removed key that returns goes to the end, as in a dictionary.
            self._merge()
        return self._changed(key, value, self._length + (key not in self))

    def without(self, key: _Key) -> "PersistentMap[_Key, _Value]":
        """Returns a copy without `key`, which may be missing."""
        if key not in self:
            return self
        return self._changed(key, _REMOVED, self._length - 1)

    def _changed(
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
        """Replaces the shared part by one that includes the changes."""
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
        """Returns a view of the entries in order."""
        self._merge()
        return self._base.items()

    def values(self) -> abc.ValuesView[_Value]:
        """Returns a view of the values in order."""
        self._merge()
        return self._base.values()

    def __repr__(self) -> str:
        return f"PersistentMap({dict(self.items())!r})"


def as_persistent(
    entries: abc.Mapping[_Key, _Value],
) -> PersistentMap[_Key, _Value]:
    """Returns `entries` itself if it is persistent, otherwise a copy."""
    if isinstance(entries, PersistentMap):
        return entries
    return PersistentMap(entries)
