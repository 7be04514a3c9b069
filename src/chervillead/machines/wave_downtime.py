"""Which hosts of maintenance waves may be down, within the cap of each wave."""

from collections import abc

from chervillead.machines import interface

# A host counts as down for this long beyond the duration of its maintenance.
RECOVERY_MARGIN_S = 0.5
# A command without a response may still be carried out within this time.
LATE_COMMAND_S = 3.0


def recovery_s(maintenance_s: float) -> float:
    """Returns after how long a host that went down counts as up again.

    Args:
        maintenance_s: How long the maintenance of a host takes, in seconds.
    """
    return maintenance_s + RECOVERY_MARGIN_S


class WaveDowntime:
    """Hosts whose maintenance one owner of the hosts partition has begun."""

    def __init__(
        self, monotonic: abc.Callable[[], float], maintenance_s: float
    ) -> None:
        self._monotonic = monotonic
        self._recovery_s = recovery_s(maintenance_s)
        self._begun: set[tuple[int, str]] = set()
        self._down_until_s: dict[tuple[int, str], float] = {}

    def has_begun(self, wave: int, host: str) -> bool:
        """Returns whether the maintenance of a host has begun."""
        return (wave, host) in self._begun

    def has_slot(
        self,
        wave: interface.Wave,
        host: str,
        listed_down: abc.Collection[str],
    ) -> bool:
        """Returns whether one more host of a wave may go down.

        Args:
            wave: The wave.
            host: The host that is to go down, which doesn't count itself.
            listed_down: Hosts that are down by other sources.
        """
        now_s = self._monotonic()
        down = {
            name
            for (number, name), until_s in self._down_until_s.items()
            if number == wave.number and until_s > now_s
        }
        down |= set(listed_down) & set(wave.hosts)
        return len(down - {host}) < wave.cap

    def reserve(self, wave: int, host: str) -> None:
        """Counts a host as down while its command is under way."""
        until_s = self._monotonic() + self._recovery_s + LATE_COMMAND_S
        self._down_until_s[wave, host] = until_s

    def release(self, wave: int, host: str) -> None:
        """Takes a reservation back; the command was not carried out."""
        self._down_until_s.pop((wave, host), None)

    def begin(self, wave: int, host: str) -> None:
        """Records that the maintenance of a host has begun."""
        self._begun.add((wave, host))
        self._down_until_s[wave, host] = self._monotonic() + self._recovery_s
