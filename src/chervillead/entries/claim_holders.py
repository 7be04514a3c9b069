"""Which entry host holds the claim on a request id."""

from collections import abc

from chervillead.callers import request_ids
from chervillead.entries import seats
from chervillead.fleet import configuration as configuration_module


class ClaimHolders:
    """Claim holder of each zone, cached until the configuration changes."""

    def __init__(
        self,
        configuration: abc.Callable[[], configuration_module.Configuration],
    ) -> None:
        self._configuration = configuration
        self._cached_for = configuration_module.EMPTY
        self._holders: tuple[str | None, ...] = ()

    def of_request(self, request_id: str) -> str | None:
        """Returns the holder of the claim on an id; None if there is none."""
        configuration = self._configuration()
        if configuration is not self._cached_for:
            self._cached_for = configuration
            self._holders = tuple(
                seats.zone_leader(configuration, zone)
                for zone in seats.claim_zones(configuration)
            )
        if not self._holders:
            return None
        index = request_ids.claim_byte(request_id) % len(self._holders)
        return self._holders[index]
