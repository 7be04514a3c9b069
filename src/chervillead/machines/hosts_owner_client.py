"""Client that owners of pools use to call the owner of the hosts partition."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.machines import interface

# Sends a call to the owner of the hosts partition, without retries.
CallHostsOwner = abc.Callable[
    [host_messages.HostCall],
    abc.Awaitable[result.Result[host_messages.HostReply, verdicts.Refusal]],
]
_REJECTION_REASONS = {
    reason.value: reason for reason in interface.RejectionReason
}

Outcome = result.Result[None, interface.HostCallFailure]


class HostsOwnerClient(typing.NamedTuple):
    """Calls to the owner of the hosts partition.

    Attributes:
        begin_maintenance: Starts the maintenance of a host in a wave.
        turn_off: Moves the host of a drained worker to a pool that lacks
            hosts, or to the spare pool.
        report_load: Reports the load of a pool; returns the reply, which has a
            reason if it was refused, or None if the owner is unavailable.
    """

    begin_maintenance: abc.Callable[
        [host_messages.BeginMaintenance], abc.Awaitable[Outcome]
    ]
    turn_off: abc.Callable[[host_messages.TurnOffHost], abc.Awaitable[Outcome]]
    report_load: abc.Callable[
        [host_messages.ReportLoad],
        abc.Awaitable[host_messages.HostReply | None],
    ]


def connect_hosts_owner(call_owner: CallHostsOwner) -> HostsOwnerClient:
    """Returns a client on top of a function that sends one call."""

    async def send_command(call: host_messages.HostCall) -> Outcome:
        outcome = await call_owner(call)
        if not pipeline.is_successful(outcome):
            refusal = outcome.failure()
            return result.Failure(
                interface.HostCallFailure(
                    refusal.verdict,
                    f"{refusal.reason}: {refusal.detail}",
                    interface.RejectionReason.BUSY
                    if refusal.verdict is verdicts.Verdict.NOT_RUN
                    else None,
                )
            )
        reply = outcome.unwrap()
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
                _REJECTION_REASONS.get(
                    reply.reason, interface.RejectionReason.BUSY
                ),
            )
        )

    async def report_load(
        report: host_messages.ReportLoad,
    ) -> host_messages.HostReply | None:
        outcome = await call_owner(report)
        return outcome.value_or(None)

    return HostsOwnerClient(send_command, send_command, report_load)
