"""Steps of tests/workers/watch.feature."""

import asyncio

import behave
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.jobs import model
from chervillead.jobs import task_runs
from chervillead.store import group_commit
from chervillead.workers import interface
from chervillead.workers import view as view_module
from chervillead.workers import watch as watch_module
from chervillead.workers import watch_ports
from stand_ins import virtual_time

INCARNATION = 1


class FakeWorker:
    """Answers polls and records the commands and leases that it gets."""

    def __init__(self, run):
        self.run = run
        self.commands = []
        self.leases = []
        self.is_rejecting_paces = False
        # Delays of the next changes of pace, and the paces in the order in
        # which they were applied.
        self.pace_delays_s = []
        self.applied_paces = []
        self.polls = []
        self.has_ended = False

    async def poll(self, request):
        """Lists the run until it is stopped, or its end at once."""
        self.polls.append(request)
        if self.has_ended:
            await asyncio.sleep(0.005)
            end = task_runs.RunEnd(self.run.key, task_runs.EndKind.DONE)
            return result.Success(
                interface.WorkerStatus(
                    int(1000 * asyncio.get_running_loop().time()),
                    INCARNATION,
                    (),
                    (interface.EndedRun(1, end),),
                )
            )
        await asyncio.sleep(0.1)
        if request.lease_until_clock_ms is not None:
            self.leases.append(request.lease_until_clock_ms)
        status = interface.RunStatus(self.run.key, "", 100, 0)
        clock_ms = int(1000 * asyncio.get_running_loop().time())
        return result.Success(
            interface.WorkerStatus(clock_ms, INCARNATION, (status,), ())
        )

    async def stop(self, key):
        """Records a stop."""
        self.commands.append(("stop", key))
        return result.Success(0)

    async def pace(self, key, percent):
        """Records a change of pace."""
        self.commands.append(("pace", key))
        if self.pace_delays_s:
            await asyncio.sleep(self.pace_delays_s.pop(0))
        self.applied_paces.append(percent)
        if self.is_rejecting_paces:
            return result.Failure(
                interface.WorkerCallFailure(verdicts.Verdict.NOT_RUN, "503")
            )
        return result.Success(None)

    def close(self):
        """Does nothing; there is no connection."""


@behave.given("a watched worker with a run")
def step(context):
    context.is_confirmed = True
    context.may_stop = True
    context.actions = []


@behave.when("the ownership runs out")
def step(context):
    _set_confirmed(context, confirmed=False)


@behave.when("the availability budget is used up")
def step(context):
    def use_up(watch, run):
        del watch, run
        context.may_stop = False

    context.actions.append(use_up)


@behave.when("the ownership is confirmed again")
def step(context):
    _set_confirmed(context, confirmed=True)


def _set_confirmed(context, *, confirmed):
    def set_confirmed(watch, run):
        del watch, run
        context.is_confirmed = confirmed

    context.actions.append(set_confirmed)


@behave.when("a change of pace is {outcome}")
def step(context, outcome):
    def queue(watch, run):
        watch._client.is_rejecting_paces = outcome == "rejected"
        watch.pace(run, 50)

    context.actions.append(queue)


@behave.then("its pace is {state}")
def step(context, state):
    run = run_watch(context).run
    assert run.is_pace_uncertain == (state == "uncertain"), state


@behave.when(
    "changes of pace to {first:d} and then to {second:d} are answered after "
    "{one:g} and {other:g} s"
)
def step(context, first, second, one, other):
    def queue(watch, run):
        watch._client.pace_delays_s = [one, other]
        watch.pace(run, first)
        watch.pace(run, second)

    context.actions.append(queue)


@behave.when("no other command follows for a second")
def step(context):
    context.actions.append(lambda watch, run: None)


@behave.then(
    "the worker applies a pace of {percent:d} last, or its pace is uncertain"
)
def step(context, percent):
    worker = run_watch(context)
    is_applied = worker.applied_paces[-1:] == [percent]
    assert is_applied or worker.run.is_pace_uncertain, worker.applied_paces


@behave.when("a stop and a change of pace are queued")
def step(context):
    def queue(watch, run):
        watch.pace(run, 50)
        watch.stop(run, "its job was cancelled")

    context.actions.append(queue)


def run_watch(context):
    """Takes the actions a second apart; returns the worker."""
    if hasattr(context, "worker"):
        return context.worker

    async def main():
        run = task_runs.Run(
            "0" * 16,
            model.TaskKey(0, 0, 0),
            1,
            "i-0",
            reserved=model.Resources(),
            started_s=0.0,
        )
        registration = interface.Registration(
            "i-0",
            "billing",
            types.Address("10.1.0.1", 1),
            "zone-a",
            "",
            frozenset(),
            model.Resources(),
            is_draining=False,
            incarnation=INCARNATION,
        )
        view = view_module.WorkerView(registration, discovered_s=0.0)
        view.begin_incarnation(INCARNATION)
        view.add_run(run, None)
        worker = FakeWorker(run)

        def apply_status(view, status):
            now_s = asyncio.get_running_loop().time()
            view.record_clock(status.clock_ms, now_s)
            view.last_contact_s = now_s
            ends = [e for e in status.ended if e.number > view.applied_end]
            if not ends:
                return []
            view.applied_end = ends[-1].number
            refused = asyncio.get_running_loop().create_future()
            refused.set_exception(group_commit.RefusedError("too long"))
            return [refused]

        ports = watch_ports.WatchPorts(
            clock=virtual_time.clock(),
            lease_ms=6000,
            max_lease_ms=6000,
            is_confirmed=lambda: context.is_confirmed,
            apply_status=apply_status,
            on_start_result=lambda *_: None,
            make_start_command=lambda *_: None,
            may_stop=lambda _: context.may_stop,
            withdraw_start=lambda *_: None,
            on_poll_failure=lambda *_: None,
            log=lambda *_, **__: None,
        )
        watch = watch_module.WorkerWatch(view, worker, ports)
        task = asyncio.create_task(watch.run())
        for action in context.actions:
            action(watch, run)
            await asyncio.sleep(1.0)
        task.cancel()
        return worker

    context.worker = virtual_time.run_virtual(main(), context.seed)
    return context.worker


@behave.when("the run ends and its record is refused")
def step(context):
    def end(watch, run):
        del run
        watch._client.has_ended = True
        watch._client.polls.clear()

    context.actions.append(end)


@behave.then("the end isn't acknowledged")
def step(context):
    worker = run_watch(context)
    assert worker.polls
    assert {poll.acknowledged_end for poll in worker.polls} == {0}


@behave.then("the worker is polled at most {count:d} times")
def step(context, count):
    polls = run_watch(context).polls
    assert len(polls) <= count, len(polls)


@behave.then("the worker gets a stop and a pace")
def step(context):
    kinds = {kind for kind, _ in run_watch(context).commands}
    assert kinds == {"stop", "pace"}, kinds


@behave.then("the worker gets a stop")
def step(context):
    kinds = {kind for kind, _ in run_watch(context).commands}
    assert "stop" in kinds, kinds


@behave.then("the worker gets a pace")
def step(context):
    kinds = {kind for kind, _ in run_watch(context).commands}
    assert kinds == {"pace"}, kinds


@behave.then("the worker gets no command")
def step(context):
    assert not run_watch(context).commands, run_watch(context).commands


@behave.then("the polls extend its lease")
def step(context):
    assert run_watch(context).leases


@behave.then("no poll extends its lease")
def step(context):
    assert not run_watch(context).leases, run_watch(context).leases
