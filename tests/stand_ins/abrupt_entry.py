"""An entry host that exits at once on SIGTERM, to prove that a check can fail.

Run as `python -m stand_ins.abrupt_entry`, with the arguments of `chervillead`.
"""

import signal
import types

from chervillead import command_line
from chervillead import daemon

if __name__ == "__main__":
    # The daemon handles other signals, so SIGTERM has its default effect.
    daemon.signal = types.SimpleNamespace(
        SIGTERM=signal.SIGUSR1, SIGINT=signal.SIGUSR2
    )
    command_line.main()
