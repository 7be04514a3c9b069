"""Steps of tests/jobs/run_times.feature."""

import math
import random
import statistics

import behave

from chervillead.jobs import job_state
from chervillead.jobs import model
from chervillead.jobs import ordering
from chervillead.jobs import run_times
from chervillead.jobs import speculation
from chervillead.jobs import task_runs

ADDRESS = "jobs.example/billing/"
SIZE = model.Resources(1000, 100)
TERMS = model.JobTerms(stretch=1.6, target_ms=600, queue_address=ADDRESS)
NO_TARGET = model.JobTerms(queue_address=ADDRESS)


def make_step(tasks, estimate_s, image=""):
    return model.Step(tasks, SIZE, int(1000 * estimate_s), image=image)


class Load:
    """Draws steps: the typical run time of their tasks and the estimate."""

    def __init__(self, seed, sigma, estimate):
        self.draws = random.Random(seed)
        self._sigma = sigma
        self._estimate = estimate
        self.tail = 0.0
        self.slow = 0.0

    def step(self):
        """Returns a step, and the usual run time of its tasks."""
        draws = self.draws
        usual_s = 1.42 * math.exp(draws.gauss(0.0, self._sigma))
        tasks = min(32, 1 + int(draws.expovariate(1 / 7.0)))
        return make_step(tasks, self._estimate(draws, usual_s)), usual_s

    def durations(self, step, usual_s):
        """Yields the run times of a step's tasks."""
        draws = self.draws
        for _ in range(step.tasks):
            factor = 7.0 if draws.random() < self.tail else 1.0
            factor *= 5.0 if draws.random() < self.slow else 1.0
            yield usual_s * factor * draws.uniform(0.93, 1.07)


ESTIMATES = {
    "the run time over a factor of 1.47 e to the 1": lambda draws, usual_s: (
        usual_s / 1.47 / math.exp(draws.gauss(0.0, 1.0))
    ),
    "off by up to nine tenths": lambda draws, usual_s: (
        usual_s * draws.uniform(0.1, 1.9)
    ),
    "unrelated to the run time": lambda draws, usual_s: math.exp(
        draws.gauss(0.0, 1.0)
    ),
    "half of the run time": lambda draws, usual_s: usual_s / 2,
}


def complete(times, step, durations, now_s=0.0, **options):
    """Records the runs of a step; returns what followed from each."""
    return [
        times.record(
            ADDRESS, step, duration_s, 1 / step.tasks, now_s, **options
        )
        for duration_s in durations
    ]


@behave.given("steps whose run times vary by a factor of e to the {sigma:g}")
def step(context, sigma):
    context.sigma = sigma
    context.tail = context.slow = 0.0


@behave.given("estimates that are {kind}")
def step(context, kind):
    context.estimate = ESTIMATES[kind]


@behave.given("{percent:g} % of tasks that take 7 times as long")
def step(context, percent):
    context.tail = percent / 100


@behave.given(
    "{percent:g} % of tasks on workers that aren't known to be 5 times slower"
)
def step(context, percent):
    context.slow = percent / 100


@behave.when("the tasks of {count:d} steps have completed")
def step(context, count):
    load = Load(context.seed, context.sigma, context.estimate)
    load.tail, load.slow = context.tail, context.slow
    context.load = load
    context.times = run_times.RunTimes()
    for _ in range(count):
        drawn, usual_s = load.step()
        complete(context.times, drawn, load.durations(drawn, usual_s))


@behave.then(
    "the error of the expected times of {count:d} further steps is at most "
    "{share:g} of that of the estimates"
)
def step(context, count, share):
    context.further = [context.load.step() for _ in range(count)]
    estimated = mean_error(
        (drawn.estimate_ms / 1000, usual_s)
        for drawn, usual_s in context.further
    )
    context.expected = mean_error(
        (context.times.expected_s(ADDRESS, drawn), usual_s)
        for drawn, usual_s in context.further
    )
    found = context.expected / estimated
    assert found <= share, (context.expected, estimated)


@behave.then("it is at most {share:g} of that of the typical run time")
def step(context, share):
    typical_s = statistics.median(usual_s for _, usual_s in context.further)
    typical = mean_error((typical_s, usual_s) for _, usual_s in context.further)
    assert context.expected <= share * typical, (context.expected, typical)


def mean_error(pairs):
    """Returns the mean absolute error of the logarithm."""
    return statistics.mean(
        abs(math.log(max(0.001, found) / truth)) for found, truth in pairs
    )


@behave.when(
    "the tasks of {count:d} steps have completed with and without a long tail"
)
def step(context, count):
    context.learned = []
    for tail in (0.0, 0.03):
        load = Load(context.seed, context.sigma, context.estimate)
        load.tail = tail
        times = run_times.RunTimes()
        for _ in range(count):
            drawn, usual_s = load.step()
            complete(times, drawn, load.durations(drawn, usual_s))
        context.learned.append(times.expected_s(ADDRESS, make_step(1, 0)))


@behave.then("the expected times differ by less than {percent:g} %")
def step(context, percent):
    short, long = sorted(context.learned)
    assert long / short < 1 + percent / 100, context.learned


@behave.given("steps whose tasks take 1 s")
@behave.given("no completed runs")
def step(context):
    context.times = run_times.RunTimes()


@behave.when("the tasks of {count:d} steps of {tasks:d} task have completed")
@behave.when("the tasks of {count:d} steps of {tasks:d} tasks have completed")
def step(context, count, tasks):
    for _ in range(count):
        complete(context.times, make_step(tasks, 1.0), [1.0] * tasks)


@behave.when(
    "the tasks of {count:d} steps of {tasks:d} tasks have completed in "
    "{seconds:g} s each"
)
def step(context, count, tasks, seconds):
    for _ in range(count):
        complete(context.times, make_step(tasks, 1.0), [seconds] * tasks)


@behave.when("the {tasks:d} tasks of a step have completed in {seconds:g} s")
def step(context, tasks, seconds):
    complete(context.times, make_step(tasks, 1.0), [seconds] * tasks)


@behave.then("a task is expected to take less than {seconds:g} s")
def step(context, seconds):
    found = context.times.expected_s(ADDRESS, make_step(1, 1.0))
    assert 1.0 < found < seconds, found


@behave.then("a task is expected to take between {low:g} s and {high:g} s")
def step(context, low, high):
    found = context.times.expected_s(ADDRESS, make_step(1, 1.0))
    assert low < found < high, found


@behave.when("a step has an estimate of {estimate:d} ms")
def step(context, estimate):
    context.step = make_step(1, estimate / 1000)


@behave.then("a task is expected to take {seconds:g} s")
def step(context, seconds):
    found = context.times.expected_s(ADDRESS, context.step)
    assert found == seconds, found


@behave.when("tasks of {count:d} images have completed, 1 s apart")
def step(context, count):
    context.count = count
    for number in range(count):
        image = make_step(1, 1.0, f"image-{number}")
        complete(context.times, image, [9.0], float(number))


@behave.then("the last {count:d} images are known")
def step(context, count):
    known = [
        number
        for number in range(context.count)
        if context.times.expected_s(
            ADDRESS, make_step(1, 1.0, f"image-{number}")
        )
        > 1
    ]
    assert known == list(range(context.count - count, context.count)), known


@behave.then("an hour later one further task leaves only its own image")
def step(context):
    complete(context.times, make_step(1, 1.0, "last"), [1.0], 4000.0)
    assert len(context.times) == 1, len(context.times)


@behave.when(
    "{count:d} tasks complete in {seconds:g} s, whose run time {change}"
)
def step(context, count, seconds, change):
    begin_s = getattr(context, "now_s", 0.0)
    doubling_s = 4.0 if change == "doubles every 4 s" else math.inf
    context.updates = []
    for number in range(count):
        passed_s = number * seconds / count
        duration_s = getattr(context, "duration_s", 1.0)
        duration_s *= 2 ** (passed_s / doubling_s)
        context.updates += complete(
            context.times,
            make_step(8, 1.0)._replace(tasks=8),
            [duration_s],
            begin_s + passed_s,
        )
    context.now_s, context.duration_s = begin_s + seconds, duration_s


@behave.then(
    "they are stored {least:d} to {most:d} times and logged {few:d} to "
    "{many:d} times"
)
def step(context, least, most, few, many):
    stored = sum(update.is_store_due for update in context.updates)
    logged = sum(update.is_log_due for update in context.updates)
    assert least <= stored <= most, stored
    assert few <= logged <= many, logged


@behave.then("they are stored and logged {most:d} times at most")
def step(context, most):
    stored = sum(update.is_store_due for update in context.updates)
    logged = sum(update.is_log_due for update in context.updates)
    assert stored <= most and logged <= most, (stored, logged)


@behave.when("{count:d} tasks complete during an outage of the store")
def step(context, count):
    context.updates = complete(
        context.times, make_step(8, 1.0), [3.0] * count, can_store=False
    )


@behave.then("nothing is to be stored, and the tasks count")
def step(context):
    assert not any(update.is_store_due for update in context.updates)
    found = context.times.expected_s(ADDRESS, make_step(8, 1.0))
    assert found > 2.9, found


@behave.then("the first task after the outage is stored")
def step(context):
    updates = complete(context.times, make_step(8, 1.0), [3.0], 0.1)
    assert updates[0].is_store_due, updates


@behave.given(
    "a job {kind} a target, its steps estimated at 1 s each, in the index"
)
def step(context, kind):
    first = make_step(5, 1.0)
    steps = (first, first._replace(depends_on=(0,)))
    spec = model.JobSpec("0" * 16, "queue-1", "billing", "", "x", steps)
    context.terms = TERMS if kind == "with" else NO_TARGET
    context.job = job_state.JobState(spec, accepted_s=100.0)
    context.times = run_times.RunTimes()
    run_times.refresh(context.job, context.terms, context.times)
    context.start_s = ordering.latest_start_s(context.job, context.terms)
    context.target_ms = ordering.completion_target_ms(
        context.job, context.terms
    )


@behave.when("the tasks of {count:d} other jobs have taken {seconds:g} s each")
def step(context, count, seconds):
    for _ in range(count):
        complete(context.times, make_step(5, 1.0), [seconds] * 5)


@behave.then("its latest start hasn't changed")
def step(context):
    found = ordering.latest_start_s(context.job, context.terms)
    assert found == context.start_s, (found, context.start_s)


@behave.when("it is put into the index again")
def step(context):
    run_times.refresh(context.job, context.terms, context.times)


@behave.then("its steps are expected to take {low:g} to {high:g} s each")
def step(context, low, high):
    found = [ordering.step_time_s(context.job, number) for number in (0, 1)]
    assert all(low <= time_s <= high for time_s in found), found


@behave.then("its completion target has grown with them")
def step(context):
    job, terms = context.job, context.terms
    found = ordering.completion_target_ms(job, terms)
    expected = 1600 * sum(job.step_times_s) + 600
    assert found > context.target_ms, (found, context.target_ms)
    assert math.isclose(found, expected), (found, expected)


@behave.when("3 tasks of its first step have taken 0.4 s, 0.5 s and 3 s")
def step(context):
    for number, duration_s in enumerate((0.4, 0.5, 3.0)):
        context.job.record_duration(model.TaskKey(0, 0, number), duration_s)


@behave.then("its first step is expected to take {seconds:g} s")
def step(context, seconds):
    assert ordering.step_time_s(context.job, 0) == seconds


@behave.given("a speculative job whose tasks are estimated at 0.5 s")
def step(context):
    only = make_step(2, 0.5)._replace(speculative=True)
    spec = model.JobSpec("0" * 16, "queue-1", "billing", "", "x", (only,))
    context.job = job_state.JobState(spec, accepted_s=0.0, terms=TERMS)
    context.times = run_times.RunTimes()


@behave.when(
    "the tasks of {count:d} jobs with the same estimate have taken {seconds:g} "
    "s each"
)
def step(context, count, seconds):
    for _ in range(count):
        complete(context.times, make_step(5, 0.5), [seconds] * 5)


@behave.when("one of its tasks has run for {seconds:g} s")
def step(context, seconds):
    run_times.refresh(context.job, TERMS, context.times)
    run = task_runs.Run(
        context.job.spec.job_id,
        model.TaskKey(0, 0, 0),
        1,
        "i-1",
        reserved=SIZE,
        started_s=-seconds,
        phase=task_runs.RunPhase.RUNNING,
    )
    context.job.add_run(run)


@behave.then("it gets {count:d} copies")
def step(context, count):
    found = list(speculation.stragglers(context.job, 0.0))
    assert len(found) == count, found
