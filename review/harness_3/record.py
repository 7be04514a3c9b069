"""The record of what a script sent, what was answered and what ran."""

import pathlib
import time
import typing

import msgspec


class Record:
    """Writes one line for each event to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens `record.txt` in a folder."""
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes one event with the seconds since the start."""
        line = msgspec.json.encode(fields).decode()
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {event} {line}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
