"""Entry point of an entry host: `python3 -m chervillead.platform`."""

import os
import pathlib
import sys

from returns import pipeline
import uvloop

from chervillead import bounded_logs
from chervillead.platform import daemon
from chervillead.platform import settings

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Runs the entry host until it stops and returns the exit status."""
    path = pathlib.Path(os.environ.get(settings.SETTINGS_VARIABLE, ""))
    checked = settings.load_settings(path)
    if not pipeline.is_successful(checked):
        print(checked.failure(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log = bounded_logs.install_bounded_log()
    uvloop.run(daemon.serve(checked.unwrap(), path))
    log.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
