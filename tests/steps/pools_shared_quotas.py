"""Steps of tests/pools/shared_quotas.feature."""

import asyncio
from unittest import mock

import behave
from returns import pipeline

from chervillead.pools import quota_ledger
from stand_ins import platform_fleet
from stand_ins import platform_scenarios
from stand_ins import shared_quota

_report = quota_ledger.QuotaLedger.report
_apply = quota_ledger.QuotaLedger._apply


async def answer_at_once(self, grants, timeout_s):
    return True


async def accept_overtaken(self, call, timeout_s):
    self._state.reports.pop(call.reporter, None)
    return await _report(self, call, timeout_s)


def grant_all(self, call, row):
    _apply(self, call, row)
    self._state.grants[row.account][call.reporter] = max(row.held, row.wanted)


def take_back(self, call, row):
    _apply(self, call, row._replace(held=row.used))


FAULTY_METHODS = {
    "ledger answers before its grants are stored": (
        quota_ledger.QuotaLedger,
        "_are_stored",
        answer_at_once,
    ),
    "ledger accepts reports that were overtaken": (
        quota_ledger.QuotaLedger,
        "report",
        accept_overtaken,
    ),
    "ledger grants what is held elsewhere": (
        quota_ledger.QuotaLedger,
        "_apply",
        grant_all,
    ),
    "ledger takes back what tasks don't use yet": (
        quota_ledger.QuotaLedger,
        "_apply",
        take_back,
    ),
}


@behave.given("shares whose {fault}")
def step(context, fault):
    patch = mock.patch.object(*FAULTY_METHODS[fault])
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("four pools share a quota under load in {count:d} random runs")
def step(context, count):
    context.outcomes = {
        seed: shared_quota.run_seeded(seed)
        for seed in range(context.seed, context.seed + count)
    }


def violations(context):
    return {
        seed: outcome.violations
        for seed, outcome in context.outcomes.items()
        if outcome.violations
    }


@behave.then("no more ever ran or was held than the quota allows")
def step(context):
    assert not violations(context), violations(context)
    assert all(outcome.starts > 50 for outcome in context.outcomes.values())


@behave.then("more ran or was held than the quota allows")
def step(context):
    assert violations(context)


@behave.then(
    "a task that needs most of the quota started within {seconds:g} s in each "
    "run"
)
def step(context, seconds):
    late = {
        seed: outcome.large_start_s
        for seed, outcome in context.outcomes.items()
        if outcome.large_start_s is None or outcome.large_start_s > seconds
    }
    assert not late, late


@behave.when("operators limit the account to {millicores:d} millicores")
def step(context, millicores):
    context.version = 2
    context.tenants = [
        {
            "Name": "team-1",
            "ApiKeys": [platform_fleet.KEY],
            "Weight": 1,
            "Cap": {"Cpu": millicores, "MemMb": 0, "Gpu": 0},
        }
    ]

    async def limit(fleet):
        fleet.store.put(
            "keyed.op",
            "config",
            platform_fleet.configuration(2, Tenants=context.tenants),
        )
        await asyncio.sleep(1.0)

    platform_scenarios.add_action(context, limit)


@behave.when(
    "a job of {tasks} with {millicores:d} millicores each is submitted"
)
def step(context, tasks, millicores):
    count = 3 if "gang" in tasks else 1
    fields = {"Cpu": millicores}
    if "gang" in tasks:
        fields["Gang"] = True
    platform_scenarios.add_action(
        context,
        platform_scenarios.submit,
        steps=[platform_fleet.step(count, **fields)],
    )


@behave.when("another job of {tasks:d} tasks is submitted")
def step(context, tasks):
    async def submit(fleet):
        outcome = await fleet.submit(
            platform_fleet.job_id(2), [platform_fleet.step(tasks)]
        )
        assert pipeline.is_successful(outcome), outcome

    platform_scenarios.add_action(context, submit)


@behave.then("tasks of the other job have started")
def step(context):
    other_job = platform_fleet.job_id(2)
    tasks = [run.task for run in all_runs(context)]
    assert any(task.startswith(other_job) for task in tasks), tasks


@behave.when("{count:d} tasks are submitted to each pool")
def step(context, count):
    async def submit_to_both(fleet):
        first = platform_fleet.job_id(1)
        second = platform_fleet.job_id(2)
        steps = [platform_fleet.step(count)]
        outcome = await fleet.submit(first, steps)
        assert pipeline.is_successful(outcome), outcome
        fleet.store.put(
            "keyed.op",
            "config",
            platform_fleet.configuration(
                3, pool=platform_fleet.OTHER_POOL, Tenants=context.tenants
            ),
        )
        await asyncio.sleep(1.0)
        outcome = await fleet.submit(second, steps)
        assert pipeline.is_successful(outcome), outcome

    platform_scenarios.add_action(context, submit_to_both)


def all_runs(context):
    fleet = platform_scenarios.run_once(context).fleet
    return [run for worker in fleet.workers.values() for run in worker.records]


@behave.then("the tasks of both pools are done")
def step(context):
    done = [run.task for run in all_runs(context) if run.how == "done"]
    assert len(done) == len(set(done)) == 24, sorted(done)


@behave.then("the account never had more than {count:d} tasks running")
def step(context, count):
    runs = all_runs(context)
    most = max(
        sum(o.began_s <= run.began_s < o.ended_s for o in runs) for run in runs
    )
    assert most <= count, most
