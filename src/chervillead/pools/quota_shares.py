"""The shares of client accounts' quotas that one partition holds.

A partition asks the ledger for more as soon as a task or a gang doesn't fit, in
growing steps, and gives back what it hasn't needed for a while. A share that is
given back is stored before the ledger hears of it, so a later owner never holds
more than the ledger has granted.
"""

import asyncio
from collections import abc
import itertools

from returns import pipeline

from chervillead.entries import job_messages
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.jobs import quotas
from chervillead.pools import owner_state
from chervillead.pools import pool_partitions
from chervillead.store import group_commit

# How often shares are reported without a shortage.
REPORT_INTERVAL_S = 0.5
# Least time between two reports.
MIN_REPORT_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 1.0
# An account that needs more asks for twice what it holds, and for this much at
# least, so that a burst needs few reports.
LEAST_STEP = quotas.WHOLE // 16
# Shares are kept for this long after they were needed, as load comes in bursts.
GIVE_BACK_AFTER_S = 2.0


class QuotaShares:
    """Asks the ledger for shares, and gives them back."""

    def __init__(
        self,
        state: owner_state.OwnerState,
        is_recovered: abc.Callable[[], bool],
        unknown_usage: abc.Callable[[], model.Resources],
    ) -> None:
        """Makes the shares of one owner.

        Args:
            state: State of the owner.
            is_recovered: Returns whether all runs of earlier owners are known.
                Until then nothing is given back, since they use it.
            unknown_usage: Returns the most that such runs may use, for which a
                share is asked for as well.
        """
        self._state = state
        self._is_recovered = is_recovered
        self._unknown_usage = unknown_usage
        # Distinguishes this owner's reports from those of earlier ones.
        self._epoch = state.writer.epoch
        self._numbers = itertools.count()
        # Whether the ledger has told what earlier owners were granted. Their
        # tasks may use it, so none of it may be given back before.
        self._is_synced = False
        # Whether the ledger may still reckon with needs that are gone.
        self._has_reported_needs = False

    async def run(self) -> None:
        """Reports to the ledger until cancelled."""
        while True:
            await self._state.shares.wait_for_shortage(REPORT_INTERVAL_S)
            if self._state.is_owner():
                await self._report()
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    async def _report(self) -> None:
        """Gives back what isn't needed, and asks for what is."""
        state = self._state
        limited = dict(self._limited_accounts())
        needs = dict(self._needs(limited))
        is_news = bool(needs or self._has_reported_needs)
        is_unknown = not self._is_synced and bool(limited and state.jobs)
        if not (is_news or is_unknown) or not await self._give_back(needs):
            return
        rows = tuple(
            job_messages.ShareRow(
                account,
                state.shares.held(account) if self._is_synced else quotas.WHOLE,
                need.used,
                need.least,
                need.wanted,
                int(1000 * need.waiting_s),
            )
            for account, need in needs.items()
        )
        outcome = await state.ports.call_owner(
            job_messages.ReportShares(
                pool_partitions.HOSTS_PARTITION,
                state.partition,
                self._epoch,
                next(self._numbers),
                rows,
                int(1000 * REPORT_TIMEOUT_S),
            ),
            REPORT_TIMEOUT_S,
        )
        if pipeline.is_successful(outcome) and not outcome.unwrap().reason:
            self._apply(outcome.unwrap().shares)
            self._is_synced = True
            self._has_reported_needs = bool(rows)
        for row in rows:
            if row.least > state.shares.held(row.account):
                self._log_waiting(row)

    def _limited_accounts(self) -> abc.Iterator[tuple[str, model.Resources]]:
        """Yields the accounts that have a quota, with it."""
        configuration = self._state.ports.configuration()
        if configuration is None:
            return
        for account in sorted(configuration.accounts):
            quota = quotas.quota_of(configuration, account)
            if quota is not None:
                yield account, quota

    def _needs(
        self, limited: abc.Mapping[str, model.Resources]
    ) -> abc.Iterator[tuple[str, quotas.ShareNeed]]:
        """Yields what each limited account needs here."""
        state = self._state
        unknown = self._unknown_usage()
        for account, quota in limited.items():
            usage = state.usage_by_account.get(account, model.Resources())
            used = min(quotas.needed_share(quota, usage), quotas.WHOLE)
            held = state.shares.held(account)
            shortage = state.shares.take_shortage(account)
            waiting_s = state.shares.waiting_s(account, state.now_s())
            if shortage is None and not used and not held:
                continue
            least = wanted = used
            if shortage is not None:
                needed = quotas.needed_share(
                    quota, usage.plus(shortage).plus(unknown)
                )
                least = min(needed, quotas.WHOLE)
                wanted = min(max(least, 2 * held, LEAST_STEP), quotas.WHOLE)
            yield account, quotas.ShareNeed(used, least, wanted, waiting_s)

    async def _give_back(
        self, needs: abc.Mapping[str, quotas.ShareNeed]
    ) -> bool:
        """Lowers shares that aren't needed; returns whether that is stored."""
        state = self._state
        if not self._is_synced or not self._is_recovered():
            return True
        stored = []
        for account, need in needs.items():
            held = state.shares.held(account)
            kept = self._kept(account, need)
            if kept < held:
                state.shares.hold(account, kept)
                stored.append(
                    state.recorder.store(
                        partition_records.QuotaShare(account, kept)
                    )
                )
        if stored:
            await asyncio.wait(stored, timeout=REPORT_TIMEOUT_S)
        return all(map(group_commit.is_stored, stored))

    def _kept(self, account: str, need: quotas.ShareNeed) -> int:
        """Returns the share that an account should keep here."""
        shares = self._state.shares
        kept = min(shares.held(account), max(shares.target(account), need.used))
        if self._state.now_s() - shares.needed_s(account) > GIVE_BACK_AFTER_S:
            kept = min(kept, need.used)
        return kept

    def _apply(self, grants: abc.Iterable[job_messages.ShareGrant]) -> None:
        """Applies what the ledger has answered to the last report."""
        state = self._state
        for grant in grants:
            state.shares.set_target(grant.account, grant.target)
            if grant.held > state.shares.held(grant.account):
                state.shares.hold(grant.account, grant.held)
                state.recorder.store(
                    partition_records.QuotaShare(grant.account, grant.held)
                )
                state.wake()

    def _log_waiting(self, row: job_messages.ShareRow) -> None:
        state = self._state
        state.log(
            "quota:waiting",
            account=row.account,
            partition=state.partition,
            held=state.shares.held(row.account) / quotas.WHOLE,
            used=row.used / quotas.WHOLE,
            needed=row.least / quotas.WHOLE,
            target=state.shares.target(row.account) / quotas.WHOLE,
        )
