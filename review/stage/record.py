"""The record of a script: what was sent, answered and run, with times."""

import pathlib
import time


class Record:
    """Lines with the seconds since the record was opened."""

    def __init__(self, path: pathlib.Path) -> None:
        """Empties the file."""
        self._path = path
        self._started_s = time.monotonic()
        self._path.write_text("")

    def now_s(self) -> float:
        """Returns the seconds since the record was opened."""
        return time.monotonic() - self._started_s

    def write(self, line: str) -> None:
        """Appends a line."""
        with self._path.open("a") as file:
            file.write(f"{self.now_s():8.3f} {line}\n")
