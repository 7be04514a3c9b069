"""Steps of tests/pools/unstored_ends.feature."""

import asyncio

import behave
from returns import pipeline
from returns import result as outcomes

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.pools import job_operations
from stand_ins import owner_states
from stand_ins import platform_scenarios
from stand_ins import virtual_time

ASK_INTERVAL_S = 0.05
TASK = model.TaskKey(0, 0, 0)


@behave.when("all hosts are asked for the job for {seconds:g} s")
def step(context, seconds):
    async def ask(fleet):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            for host in fleet.hosts:
                phase = await fleet.phase(platform_scenarios.JOB, host=host)
                if phase == job_state.Phase.COMPLETED.value:
                    context.completed_s = min(
                        getattr(context, "completed_s", float("inf")),
                        loop.time(),
                    )
            await asyncio.sleep(ASK_INTERVAL_S)

    platform_scenarios.add_action(context, ask)


@behave.when("the worker of the run is lost for good")
def step(context):
    async def lose(fleet):
        (run,) = fleet.runs(platform_scenarios.JOB)
        worker = fleet.workers[run.worker_id]
        worker.silent = True
        worker._end_all("gone", list_ends=False)

    platform_scenarios.add_action(context, lose)


@behave.when("its run has ended")
def step(context):
    async def wait(fleet):
        while not any(run.how for run in fleet.runs(platform_scenarios.JOB)):
            await asyncio.sleep(0.01)

    platform_scenarios.add_action(context, wait)


@behave.when("the owner is asked for the job")
def step(context):
    async def ask(fleet):
        await asyncio.sleep(0.02)
        context.answer = await fleet.phase(
            platform_scenarios.JOB, host=fleet.owner_host()
        )

    platform_scenarios.add_action(context, ask)


@behave.then("the answer is {phase}")
def step(context, phase):
    platform_scenarios.run_once(context)
    assert context.answer == phase, context.answer


@behave.then("the job's cancellation is accepted")
def step(context):
    outcome = platform_scenarios.run_once(context).outcomes[-1]
    assert pipeline.is_successful(outcome), outcome


@behave.then("no task started after its cancellation was accepted")
def step(context):
    result = platform_scenarios.run_once(context)
    if not pipeline.is_successful(result.outcomes[-1]):
        return
    late = [run for run in result.runs if run.began_s > context.cancelled_s]
    assert not late, (context.cancelled_s, result.runs)


@behave.then("no task started after the job was reported as completed")
def step(context):
    runs = platform_scenarios.run_once(context).runs
    late = [run for run in runs if run.began_s > context.completed_s]
    assert not late, (context.completed_s, runs)


@behave.given("an owner whose store answers after {seconds:g} s")
def step(context, seconds):
    context.append_s = seconds
    context.append_outcome = outcomes.Success(0)


@behave.given("an owner whose store rejects every append")
def step(context):
    context.append_s = 0.0
    context.append_outcome = outcomes.Failure(owner_states.NOT_ACCEPTED)


@behave.given("an owner whose store fences every append")
def step(context):
    context.append_s = 0.0
    context.append_outcome = outcomes.Failure(owner_states.FENCED)


def complete(job):
    end = task_runs.RunEnd(
        task_runs.RunKey(job.spec.job_id, TASK, 1), task_runs.EndKind.DONE
    )
    job.apply_run_end(end, 3, 0.0)


ENDINGS = {
    "is completed": complete,
    "has failed": lambda job: job.give_up(0.0),
    "is cancelled": lambda job: job.cancel(0.0),
}


@behave.when("its job {ending} and a caller asks {delay:g} s later")
def step(context, ending, delay):
    async def ask():
        async def append(topic, partition, records, producer):
            await asyncio.sleep(context.append_s)
            return context.append_outcome

        state = owner_states.build_state(append, lambda: 0.0)
        operations = job_operations.JobOperations(state)
        job = job_state.JobState(owner_states.job(1), accepted_s=0.0)
        job.has_started = True
        state.jobs[job.spec.job_id] = job
        writing = asyncio.create_task(state.writer.run())
        ENDINGS[ending](job)
        state.recorder.store_progress(job)
        await asyncio.sleep(delay)
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        outcome = await operations.find(job.spec.job_id, confirm_unknown=True)
        writing.cancel()
        return outcome, loop.time() - asked_s

    context.found, context.found_after_s = virtual_time.run_virtual(
        ask(), context.seed
    )


@behave.then("the caller is told that the job is {phase} within {limit:g} s")
def step(context, phase, limit):
    assert context.found.unwrap().confirmed_phase.value == phase, context.found
    assert context.found_after_s <= limit + 0.001, context.found_after_s
