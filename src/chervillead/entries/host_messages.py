"""Calls from owners of pools to the owner of the hosts partition.

A call that is received twice does no harm: it names the incarnation of a worker
or the wave that it is for, or it only concerns hosts that are idle.
"""

import typing


class BeginMaintenance(typing.NamedTuple):
    """Requests the maintenance of a host in a wave; the host goes down."""

    host: str
    wave: int


class TurnOffHost(typing.NamedTuple):
    """Requests that the host of a drained worker move to the spare pool."""

    worker_id: str


class BorrowHosts(typing.NamedTuple):
    """Requests a number of hosts from the spare pool for a pool."""

    pool: str
    wanted: int


class OfferHosts(typing.NamedTuple):
    """Offers a number of idle hosts of a pool to other pools."""

    pool: str
    idle: int


class HostReply(typing.NamedTuple):
    """Reply of the owner of the hosts partition.

    Attributes:
        reason: Why the call failed; empty if it was carried out.
        may_have_run: Whether the command of a failed call may have been, or may
            still be, carried out.
        detail: Explanation for logs.
        hosts: Number of hosts that are moving to the pool, or that other pools
            need now.
    """

    reason: str = ""
    may_have_run: bool = False
    detail: str = ""
    hosts: int = 0


HostCall = BeginMaintenance | TurnOffHost | BorrowHosts | OfferHosts
