"""The newest record of each key of a partition, merged from several sources.

The log, reads of all latest records and copies of other hosts arrive in any
order. Offsets tell which of two records of a key is newer, so an older source
never replaces what a newer one has brought.
"""

from collections import abc
import typing

from chervillead.store import interface


class Change(typing.NamedTuple):
    """A change of a keyed topic.

    Attributes:
        key: The changed key.
        value: Its new value, or None if the key was deleted.
    """

    key: str
    value: bytes | None


class KeyedState:
    """What is known of one partition of a keyed topic.

    Example:
        >>> state = KeyedState()
        >>> state.merge_log((interface.KeyedRecord("config", b"1", 7),), 8)
        [Change(key='config', value=b'1')]
        >>> state.position
        8
    """

    def __init__(self) -> None:
        self._records: dict[str, interface.KeyedRecord] = {}
        self._position = 0

    @property
    def position(self) -> int:
        """Offset before which all records of the partition are merged."""
        return self._position

    @property
    def keys(self) -> abc.Collection[str]:
        """The present keys."""
        return self._records.keys()

    def records_since(self, offset: int) -> tuple[interface.KeyedRecord, ...]:
        """Returns the present records from an offset on, by key."""
        return tuple(
            record
            for _, record in sorted(self._records.items())
            if record.offset >= offset
        )

    def merge_log(
        self, records: abc.Iterable[interface.KeyedRecord], next_offset: int
    ) -> list[Change]:
        """Merges a page of the log that begins at or before the position.

        Args:
            records: Records in the order of their offsets.
            next_offset: Offset after the last one.

        Returns:
            The changes that the records made, in order.
        """
        changes = [
            Change(record.key, record.value or None)
            for record in records
            if self._put(record)
        ]
        self._position = max(self._position, next_offset)
        return changes

    def merge_snapshot(
        self,
        records: abc.Iterable[interface.KeyedRecord],
        keys: abc.Collection[str],
        position: int,
    ) -> list[Change]:
        """Merges the latest records of all keys, or the newer ones of them.

        Args:
            records: Records of the snapshot; those before this state's position
                may be left out.
            keys: All keys that the snapshot has.
            position: Offset before which the snapshot reflects all records.

        Returns:
            The changes that the snapshot made.
        """
        changes = [
            Change(record.key, record.value)
            for record in records
            if self._put(record)
        ]
        # A key that the snapshot lacks was deleted before its position, or is
        # newer than it.
        deleted = [
            key
            for key, record in sorted(self._records.items())
            if key not in keys and record.offset < position
        ]
        for key in deleted:
            del self._records[key]
        self._position = max(self._position, position)
        return changes + [Change(key, None) for key in deleted]

    def _put(self, record: interface.KeyedRecord) -> bool:
        """Keeps a record; returns whether it is news."""
        if record.offset < self._position:
            return False
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        if record.value:
            self._records[record.key] = record
            return True
        return self._records.pop(record.key, None) is not None
