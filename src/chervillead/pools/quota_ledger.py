"""Who holds which share of each client account's quota.

The owner of the hosts partition keeps the ledger. It grants a share only from
what no partition holds, and stores the grant before it answers. A share comes
back when its holder reports that it holds less. So the shares never add up to
more than the whole, whichever message is lost and whoever is replaced.
"""

import asyncio
from collections import abc

from returns import result

from chervillead import verdicts
from chervillead.entries import job_messages
from chervillead.jobs import partition_records
from chervillead.jobs import quotas
from chervillead.pools import owner_state
from chervillead.store import group_commit

# Needs of a partition that hasn't reported for this long count no more.
REPORT_MAX_AGE_S = 3.0
RETRY_AFTER_S = 0.5
_NO_REPORT = (-1, -1)

ReplyOutcome = result.Result[job_messages.JobReply, verdicts.Refusal]


class QuotaLedger:
    """Grants shares of quotas to the owners of partitions."""

    def __init__(self, state: owner_state.OwnerState) -> None:
        self._state = state
        # What partitions need, by account and partition, and when they said it.
        self._needs: dict[str, dict[int, quotas.ShareNeed]] = {}
        self._reported_s: dict[int, float] = {}
        # The last append of each account's grants.
        self._appends: dict[str, asyncio.Future[None]] = {}

    async def report(
        self, call: job_messages.ReportShares, timeout_s: float
    ) -> ReplyOutcome:
        """Applies a report, and answers what its sender holds from now on.

        A report that was overtaken by a later one is refused, since it may say
        that its sender holds less than it has been granted since. One that
        comes again changes nothing.
        """
        state = self._state
        last = state.reports.get(call.reporter, _NO_REPORT)
        sent = (call.epoch, call.number)
        if sent < last:
            return result.Failure(_outdated(call, last))
        self._reported_s[call.reporter] = state.now_s()
        if sent > last:
            state.reports[call.reporter] = sent
            self._forget_needs(call.reporter)
            for row in call.rows:
                self._apply(call, row)
        grants = list(self._held_by(call))
        if not await self._are_stored(grants, timeout_s):
            return result.Failure(
                verdicts.may_have_run(
                    "store-silent", 504, "the store did not confirm the grants"
                )
            )
        return result.Success(
            job_messages.JobReply(
                verdicts.Verdict.RAN.value, shares=tuple(grants)
            )
        )

    def _forget_needs(self, partition: int) -> None:
        for needs in self._needs.values():
            needs.pop(partition, None)

    def _apply(
        self, call: job_messages.ReportShares, row: job_messages.ShareRow
    ) -> None:
        """Applies one account of a report, and stores changed grants."""
        state = self._state
        grants = state.grants.setdefault(row.account, {})
        before = grants.get(call.reporter, 0)
        held = min(before, max(row.held, row.used))
        self._needs.setdefault(row.account, {})[call.reporter] = (
            quotas.ShareNeed(
                row.used, row.least, row.wanted, row.waiting_ms / 1000
            )
        )
        free = quotas.WHOLE - sum(grants.values()) + before - held
        part = self._divide(row.account)[call.reporter]
        grants[call.reporter] = held + max(0, min(part - held, free))
        if grants[call.reporter] != before:
            self._appends[row.account] = state.recorder.store(
                partition_records.QuotaGrants(
                    row.account, dict(grants), dict(state.reports)
                )
            )

    def _divide(self, account: str) -> dict[int, int]:
        """Returns the parts of an account's quota that partitions need."""
        since_s = self._state.now_s() - REPORT_MAX_AGE_S
        return quotas.divide_shares(
            {
                partition: need
                for partition, need in self._needs.get(account, {}).items()
                if self._reported_s[partition] >= since_s
            }
        )

    def _held_by(
        self, call: job_messages.ReportShares
    ) -> abc.Iterator[job_messages.ShareGrant]:
        """Yields what a partition holds, also of accounts it doesn't name."""
        named = {row.account for row in call.rows}
        for account, grants in sorted(self._state.grants.items()):
            held = grants.get(call.reporter, 0)
            if held or account in named:
                parts = self._divide(account)
                unneeded = quotas.WHOLE - sum(parts.values())
                yield job_messages.ShareGrant(
                    account, held, parts.get(call.reporter, 0) + unneeded
                )

    async def _are_stored(
        self, grants: abc.Iterable[job_messages.ShareGrant], timeout_s: float
    ) -> bool:
        """Waits for the store; returns whether it has confirmed the grants."""
        appends = [
            self._appends[grant.account]
            for grant in grants
            if grant.account in self._appends
        ]
        if appends:
            await asyncio.wait(appends, timeout=timeout_s)
        return all(map(group_commit.is_stored, appends))


def _outdated(
    call: job_messages.ReportShares, last: tuple[int, int]
) -> verdicts.Refusal:
    return verdicts.not_run(
        "report-outdated",
        503,
        f"partition {call.reporter} has sent report {last} after "
        f"{(call.epoch, call.number)}",
        retry_after_s=RETRY_AFTER_S,
    )
