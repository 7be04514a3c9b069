"""Calls about hosts that an owner of pools sends to the owner of all hosts.

Each can be received twice without harm: it names the life of a worker or the
wave that it is about, or asks for hosts that are idle anyhow.
"""

import typing


class BeginMaintenance(typing.NamedTuple):
    """Asks to take a host down for its upkeep in a wave."""

    host: str
    wave: int


class TurnOffHost(typing.NamedTuple):
    """Asks to move the host of an emptied worker to the spare pool."""

    worker_id: str


class BorrowHosts(typing.NamedTuple):
    """Asks for hosts of the spare pool."""

    pool: str
    wanted: int


class OfferHosts(typing.NamedTuple):
    """Tells that a pool could do without some hosts at once."""

    pool: str
    idle: int


class HostReply(typing.NamedTuple):
    """Answer of the owner of all hosts.

    Attributes:
        reason: Why nothing was done; empty if the order was carried out.
        may_have_run: Whether a failed order may still be carried out.
        detail: Explanation for logs.
        hosts: Hosts that are on their way to the pool, or that other pools
            would take at once.
    """

    reason: str = ""
    may_have_run: bool = False
    detail: str = ""
    hosts: int = 0


HostCall = BeginMaintenance | TurnOffHost | BorrowHosts | OfferHosts
