"""Calls from owners of pools to the owner of the hosts partition.

A call that is received twice does no harm: it names the incarnation of a worker
or the wave that it is for, or it only concerns hosts that are idle.
"""

import typing

# Reason of a reply to an owner of a pool that a later one has replaced.
REPLACED = "replaced"


class BeginMaintenance(typing.NamedTuple):
    """Requests the maintenance of a host in a wave; the host goes down.

    Attributes:
        host: Name of the host.
        wave: Number of the wave.
        worker_id: Id of the worker that was drained; empty for a host that is
            turned off.
        pool: Name of its pool.
        token: Fencing token of the pool's owner.
    """

    host: str
    wave: int
    worker_id: str
    pool: str
    token: int


class TurnOffHost(typing.NamedTuple):
    """Requests that the host of a drained worker leave its pool.

    Attributes:
        worker_id: Id of the worker.
        pool: Name of its pool.
        token: Fencing token of the pool's owner.
    """

    worker_id: str
    pool: str
    token: int


class ReportLoad(typing.NamedTuple):
    """Reports the load of a pool.

    Attributes:
        pool: Name of the pool.
        token: Fencing token of the pool's owner.
        hosts: Hosts that it has or that are moving to it.
        releasing: Hosts that it drains in order to release them; not part of
            `hosts`.
        min_hosts: Hosts that it cannot release.
        urgent: Hosts that work needs which may still meet its target.
        needed: Hosts that all its running and waiting tasks need.
        retained: Hosts that it needed a short time ago.
        term: Term of the last reply.
        accounted: `last_sent` of the last reply; `hosts` includes the hosts
            that had been sent by then.
    """

    pool: str
    token: int
    hosts: int
    releasing: int
    min_hosts: int
    urgent: int
    needed: int
    retained: int
    term: int
    accounted: int


class HostReply(typing.NamedTuple):
    """Reply of the owner of the hosts partition.

    Attributes:
        reason: Why the call failed; empty if it was carried out.
        may_have_run: Whether the command of a failed call may have been, or may
            still be, carried out.
        detail: Explanation for logs.
        term: Fencing token of the owner that numbers the hosts it sends.
        last_sent: Number of the last host that was sent to any pool.
        arriving: Number of hosts on their way to the pool that its report
            didn't count.
        surplus: Number of hosts that the pool should release.
        wanted: How many of these another pool needs now, so that they should be
            released even if tasks still run on them.
    """

    reason: str = ""
    may_have_run: bool = False
    detail: str = ""
    term: int = 0
    last_sent: int = 0
    arriving: int = 0
    surplus: int = 0
    wanted: int = 0


HostCall = BeginMaintenance | TurnOffHost | ReportLoad
