"""Members of the group of owners, and the text that names one in the store.

The list of owners holds these texts, so it is discovery and routing in one.
"""

import math
import typing

from returns import pipeline

from chervillead import types
from chervillead.pools import owner_eligibility


class Member(typing.NamedTuple):
    """One process of a host as a member of the owners' group.

    Attributes:
        address: Where it serves calls of other hosts.
        incarnation: Distinguishes processes that use the same address in turn.
        host: Name of the host.
        zone: Availability zone of the host.
        cores: Its processor time per second, in cores; None if unknown.
    """

    address: types.Address
    incarnation: str
    host: str
    zone: str
    cores: float | None = None

    @property
    def candidate(self) -> owner_eligibility.Candidate:
        """The host as a candidate for owning partitions."""
        return owner_eligibility.Candidate(self.address, self.cores)

    def __str__(self) -> str:
        host, port = self.address
        text = f"{host}:{port}/{self.incarnation}/{self.host}/{self.zone}"
        return text if self.cores is None else f"{text}/{self.cores:.4g}"


def parse_member(text: str) -> Member | None:
    """Returns the member that a text encodes, or None if it is malformed.

    Members that don't say how many cores they have are accepted.
    """
    fields = text.split("/")
    address = types.parse_address(fields[0])
    if len(fields) not in (4, 5) or not pipeline.is_successful(address):
        return None
    incarnation, host, zone = fields[1:4]
    cores = _parse_cores(fields[4]) if len(fields) == 5 else None
    return Member(address.unwrap(), incarnation, host, zone, cores)


def _parse_cores(text: str) -> float | None:
    try:
        cores = float(text)
    except ValueError:
        return None
    return cores if math.isfinite(cores) and cores > 0 else None
