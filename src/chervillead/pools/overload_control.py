"""Rates of accounts at one owner, and its decisions under overload."""

from collections import abc

from chervillead import verdicts
from chervillead.jobs import account_rates
from chervillead.jobs import admission
from chervillead.jobs import backlog
from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import overload
from chervillead.jobs import overloaded_pools
from chervillead.jobs import run_times
from chervillead.jobs import waiting_jobs
from chervillead.jobs import workload
from chervillead.pools import job_refusals
from chervillead.pools import ports as ports_module

# The requests for hosts follow the load in about this many steps.
GROWTH_STEPS = 2
# Refusals of this time share a log line.
LOG_INTERVAL_S = 1.0


class OverloadControl:
    """What an owner keeps in memory to decide under overload."""

    def __init__(self, ports: ports_module.OwnerPorts) -> None:
        self._ports = ports
        self._rates = account_rates.AccountRates()
        self._backlog = backlog.Backlog()
        self._pools = overloaded_pools.OverloadedPools(self._backlog)
        self._waiting: waiting_jobs.WaitingJobs | None = None
        self._return_times = admission.ReturnTimes()
        self._refused = 0
        self._logged_s = float("-inf")

    @property
    def backlog(self) -> backlog.Backlog:
        """Unfinished jobs."""
        return self._backlog

    def take_token(self, account: str) -> bool:
        """Counts an accepted job; returns whether it is within the rate."""
        now_s = self._ports.clock.monotonic()
        return self._rates.take(account, self._agreed_rate(account), now_s)

    def check(
        self,
        spec: model.JobSpec,
        terms: model.JobTerms,
        times: run_times.RunTimes,
    ) -> verdicts.Refusal | None:
        """Returns why a new job is refused for load, or None.

        Args:
            spec: The job, which must not be known.
            terms: What it would be owed.
            times: Run times of its partition.
        """
        now_s = self._ports.clock.monotonic()
        if not backlog.has_target(spec, terms):
            return None
        waiting = 0 if self._waiting is None else self._waiting.unscheduled
        state = self._pools.get(spec.pool)
        if state is None and waiting <= admission.MAX_WAITING_OVER_RATE:
            return None
        job = job_state.JobState(spec, accepted_s=now_s, terms=terms)
        run_times.refresh(job, terms, times)
        job.is_over_rate = not self._rates.has_token(
            spec.account, self._agreed_rate(spec.account), now_s
        )
        candidate = backlog.candidate_of(job, terms, 0)
        refusal = admission.check_waiting(
            candidate, waiting, state
        ) or admission.check_backlog(
            candidate,
            state,
            self._backlog.statistics,
            now_s,
            settle_s=self._settle_s(),
        )
        if refusal is None:
            return None
        return self._refuse(candidate, refusal, waiting, now_s)

    def _settle_s(self) -> float:
        """Returns how long hosts still arrive once overload has begun."""
        configuration = self._ports.configuration()
        if configuration is None or not any(
            pool.is_spare for pool in configuration.pools.values()
        ):
            return 0.0
        return GROWTH_STEPS * self._ports.limits.host_lead_time_s

    def _refuse(
        self,
        candidate: workload.Candidate,
        refusal: admission.Refusal,
        waiting: int,
        now_s: float,
    ) -> verdicts.Refusal:
        """Counts a refusal; returns it with the time to return."""
        spec = candidate.job.spec
        delay_s = self._return_times.next_delay_s(
            spec.pool,
            candidate.group,
            now_s,
            ahead_s=refusal.backlog_s,
            jobs_per_s=self._backlog.completed_per_s(spec.pool, now_s),
        )
        if not candidate.group.is_over_rate:
            # Otherwise the refused jobs would be missing where it is decided
            # whether a size class starves. Jobs beyond the rate of their
            # account, which may be many, must not lower the chance of others.
            self._backlog.statistics.add_outcome(
                candidate.queue, candidate.work.total, now_s, is_on_time=False
            )
        self._ports.increment("chervillead_overload_refusals", refusal.reason)
        self._log_refusal(candidate, refusal, waiting, delay_s, now_s)
        return job_refusals.pool_overloaded(
            _detail(candidate, refusal, waiting), delay_s
        )

    def _log_refusal(
        self,
        candidate: workload.Candidate,
        refusal: admission.Refusal,
        waiting: int,
        delay_s: float,
        now_s: float,
    ) -> None:
        """Logs the first refusal of each interval, with the number of all."""
        self._refused += 1
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        spec = candidate.job.spec
        self._ports.log(
            "job:refused-overload",
            job=spec.job_id,
            pool=spec.pool,
            queue=spec.queue,
            account=spec.account,
            reason=refusal.reason,
            is_over_rate=candidate.group.is_over_rate,
            backlog_s=round(refusal.backlog_s, 3),
            target_s=round(candidate.target_s, 3),
            waiting=waiting,
            return_s=round(delay_s, 3),
            refused=self._refused,
        )
        self._logged_s, self._refused = now_s, 0

    def refresh(
        self,
        waiting: waiting_jobs.WaitingJobs,
        millicores: abc.Callable[[str], int],
    ) -> None:
        """Chooses again which jobs are run in time, where that is due.

        A choice takes effect once no more hosts arrive: before, it would move
        out jobs that the hosts on their way can still serve in time.

        Args:
            waiting: The waiting jobs.
            millicores: Returns the millicores of a pool's schedulable hosts.
        """
        now_s = self._ports.clock.monotonic()
        self._waiting = waiting
        for pool in self._backlog.pools:
            before = self._pools.get(pool)
            standings = self._pools.refresh(pool, millicores(pool), now_s)
            after = self._pools.get(pool)
            if after is None or now_s - after.begun_s >= self._settle_s():
                waiting.set_standings(standings)
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


def _detail(
    candidate: workload.Candidate, refusal: admission.Refusal, waiting: int
) -> str:
    """Returns a refusal's explanation for people."""
    if refusal.reason == admission.TOO_MANY:
        return f"{waiting} jobs wait, more than are accepted"
    return (
        f"the work ahead takes {refusal.backlog_s:.1f} s, more than "
        f"{overload.EXPIRY_FACTOR:g} times the target of "
        f"{candidate.target_s:.1f} s"
    )
