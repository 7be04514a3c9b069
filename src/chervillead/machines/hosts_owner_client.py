"""How an owner of pools has hosts switched, wherever they are ordered."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.machines import interface

# Sends a call once to the owner of all hosts.
CallHostsOwner = abc.Callable[
    [host_messages.HostCall],
    abc.Awaitable[result.Result[host_messages.HostReply, verdicts.Refusal]],
]
_REFUSED = {refused.value: refused for refused in interface.RejectionReason}

Outcome = result.Result[None, interface.HostCallFailure]


class HostsOwnerClient(typing.NamedTuple):
    """Orders for hosts.

    Attributes:
        begin_upkeep: Takes a host down for its upkeep in a wave.
        turn_off: Moves the host of an emptied worker to the spare pool.
        borrow: Asks for hosts for a pool; returns how many come, or None if
            nobody orders hosts at the moment.
        offer: Offers a pool's idle hosts; returns how many are wanted at once.
    """

    begin_maintenance: abc.Callable[[str, int], abc.Awaitable[Outcome]]
    turn_off: abc.Callable[[str], abc.Awaitable[Outcome]]
    borrow: abc.Callable[[str, int], abc.Awaitable[int | None]]
    offer: abc.Callable[[str, int], abc.Awaitable[int]]


def connect_hosts_owner(ask: CallHostsOwner) -> HostsOwnerClient:
    """Returns the orders as calls to the owner of all hosts."""

    async def order(call: host_messages.HostCall) -> Outcome:
        answered = await ask(call)
        if not pipeline.is_successful(answered):
            refusal = answered.failure()
            return result.Failure(
                interface.HostCallFailure(
                    refusal.verdict,
                    f"{refusal.reason}: {refusal.detail}",
                    interface.RejectionReason.BUSY
                    if refusal.verdict is verdicts.Verdict.NOT_RUN
                    else None,
                )
            )
        reply = answered.unwrap()
        if not reply.reason:
            return result.Success(None)
        if reply.may_have_run:
            return result.Failure(
                interface.HostCallFailure(
                    verdicts.Verdict.MAY_HAVE_RUN, reply.detail
                )
            )
        return result.Failure(
            interface.HostCallFailure(
                verdicts.Verdict.NOT_RUN,
                f"{reply.reason} {reply.detail}",
                _REFUSED.get(reply.reason, interface.RejectionReason.BUSY),
            )
        )

    async def begin_maintenance(machine: str, wave: int) -> Outcome:
        return await order(host_messages.BeginMaintenance(machine, wave))

    async def turn_off(worker_id: str) -> Outcome:
        return await order(host_messages.TurnOffHost(worker_id))

    async def borrow(pool: str, count: int) -> int | None:
        answered = await ask(host_messages.BorrowHosts(pool, count))
        reply = answered.value_or(None)
        return reply.hosts if reply is not None and not reply.reason else None

    async def offer(pool: str, idle: int) -> int:
        answered = await ask(host_messages.OfferHosts(pool, idle))
        return answered.map(lambda reply: reply.hosts).value_or(0)

    return HostsOwnerClient(begin_maintenance, turn_off, borrow, offer)
