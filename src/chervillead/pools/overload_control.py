"""Rates of accounts at one owner, and its decisions under overload."""

from collections import abc

from chervillead.jobs import account_rates
from chervillead.jobs import backlog
from chervillead.jobs import overloaded_pools
from chervillead.jobs import waiting_jobs
from chervillead.pools import ports as ports_module


class OverloadControl:
    """What an owner keeps in memory to decide under overload."""

    def __init__(self, ports: ports_module.OwnerPorts) -> None:
        self._ports = ports
        self._rates = account_rates.AccountRates()
        self._backlog = backlog.Backlog()
        self._pools = overloaded_pools.OverloadedPools(self._backlog)

    @property
    def backlog(self) -> backlog.Backlog:
        """Unfinished jobs."""
        return self._backlog

    def take_token(self, account: str) -> bool:
        """Counts an accepted job; returns whether it is within the rate."""
        now_s = self._ports.clock.monotonic()
        return self._rates.take(account, self._agreed_rate(account), now_s)

    def refresh(
        self,
        waiting: waiting_jobs.WaitingJobs,
        millicores: abc.Callable[[str], int],
    ) -> None:
        """Chooses again which jobs are run in time, where that is due.

        Args:
            waiting: The waiting jobs.
            millicores: Returns the millicores of a pool's schedulable hosts.
        """
        now_s = self._ports.clock.monotonic()
        for pool in self._backlog.pools:
            before = self._pools.get(pool)
            standings = self._pools.refresh(pool, millicores(pool), now_s)
            waiting.set_standings(standings)
            after = self._pools.get(pool)
            if after is not None and before is None:
                self._ports.increment("chervillead_overloads", pool)
                self._log(pool, after, now_s)
            elif after is None and before is not None:
                self._log(pool, before, now_s, is_over=True)

    def _log(
        self,
        pool: str,
        state: overloaded_pools.Overload,
        now_s: float,
        *,
        is_over: bool = False,
    ) -> None:
        choice = state.choice
        waiting_s = self._backlog.pending(pool) / state.load.millicores
        self._ports.log(
            "pool:overloaded",
            pool=pool,
            is_over=is_over,
            after_s=round(now_s - state.begun_s, 3),
            cores=round(state.load.millicores / 1000),
            backlog_s=round(waiting_s, 3),
            in_set=choice.in_set,
            moved_out=choice.moved_out,
        )

    def _agreed_rate(self, account: str) -> float:
        """Returns the submissions per second; 0 if none are agreed on."""
        configuration = self._ports.configuration()
        if configuration is None or account not in configuration.accounts:
            return 0.0
        return configuration.accounts[account].weight
