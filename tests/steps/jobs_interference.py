"""Steps of tests/jobs/interference.feature."""

import behave

from chervillead.jobs import interference
from chervillead.jobs import latency_fit
from chervillead.jobs import model
from chervillead.jobs import pacing
from chervillead.jobs import placement
from chervillead.jobs import task_runs
from chervillead.jobs import worker_trace
from stand_ins import interference_world

SERVICE = interference_world.SERVICE


def build_world(context, workers, services, images):
    worker_ids = [f"i-{number}" for number in range(workers)]
    context.world = interference_world.World(worker_ids, context.seed)
    context.add_cleanup(context.world.close)
    if services:
        context.world.submit(interference_world.service_step(services))
    for image in images:
        context.world.submit(
            interference_world.best_effort_step(image, services)
        )


@behave.given(
    "{workers:d} workers with a service and images heavy, light and none "
    "beside it"
)
def step(context, workers):
    build_world(context, workers, workers, ("heavy", "light", "none"))


@behave.given(
    "{workers:d} workers, of which {services:d} have a service, and images "
    "heavy and none"
)
def step(context, workers, services):
    build_world(context, workers, services, ("heavy", "none"))


@behave.given(
    "heavy raises its tail by {heavy:g}, light by {light:g} and none by "
    "{none:g}"
)
@behave.when(
    "heavy raises its tail by {heavy:g}, light by {light:g} and none by "
    "{none:g} from now on"
)
def step(context, heavy, light, none):
    context.world.effects.update(heavy=heavy, light=light, none=none)


@behave.given("worker {worker_id} of a service is {factor:g} times slower")
@behave.when("worker {worker_id} of a service is {factor:g} times slower")
def step(context, worker_id, factor):
    context.world.slowness[worker_id] = factor


@behave.when("the services run for {seconds:d} s")
def step(context, seconds):
    if "mover" in context:
        start_mover(context)
    context.world.pass_time(seconds)


@behave.then("none runs at 90 percent or more everywhere")
def step(context):
    paces = context.world.paces("none")
    assert len(paces) == 6, paces
    assert min(paces.values()) >= 90, paces


@behave.then("none runs at 90 percent or more on the other workers")
def step(context):
    paces = context.world.paces("none")
    others = [pace for worker_id, pace in paces.items() if worker_id != "i-0"]
    assert min(others) >= 90, paces


def mean_pace(context, image):
    paces = context.world.paces(image).values()
    return sum(paces) / len(paces)


@behave.then("heavy runs at half of the pace of none or less")
def step(context):
    paces = mean_pace(context, "heavy"), mean_pace(context, "none")
    assert 2 * paces[0] <= paces[1], paces


@behave.then("heavy runs faster than none")
def step(context):
    paces = mean_pace(context, "heavy"), mean_pace(context, "none")
    assert paces[0] > paces[1], paces


@behave.then(
    "the tail is over its target for at most {seconds:g} s, and never after "
    "{since:g} s"
)
def step(context, seconds, since):
    world = context.world
    for worker_id in world.worker_ids:
        longest_s = world.longest_miss_s(worker_id)
        assert longest_s <= seconds, (worker_id, longest_s)
        longest_s = world.longest_miss_s(worker_id, since)
        assert not longest_s, (worker_id, longest_s)


def expected_rise(context, image):
    partition = context.world.partition
    learned = partition.state.interference
    return learned.estimate(image, SERVICE, partition.now_s).rise


@behave.then(
    "none is expected to raise the tail by at most a quarter of what heavy does"
)
def step(context):
    rises = expected_rise(context, "none"), expected_rise(context, "heavy")
    assert 4 * rises[0] <= rises[1], rises


@behave.when("a tail has been at 0.95 of its target for {seconds:g} s")
def step(context, seconds):
    context.may_spare = seconds < worker_trace.SETTLE_S


@behave.when(
    "a harmless task at 100 percent is beside an unknown one at {other:d} "
    "percent"
)
def step(context, other):
    context.neighbors = [
        pacing.Neighbor("a", 100, latency_fit.Estimate(0.0, 0.02, 9.0)),
        pacing.Neighbor("b", other, latency_fit.UNKNOWN),
    ]


@behave.when("the paces changed {seconds:g} s ago")
def step(context, seconds):
    context.paces = pacing.next_paces(
        context.neighbors,
        0.95,
        is_settled=seconds >= worker_trace.SETTLE_S,
        may_spare=context.may_spare,
    )


@behave.then("the harmless task continues at {percent:d} percent")
def step(context, percent):
    assert context.paces == [percent, 0], context.paces


@behave.when("{count:d} samples of two images change both paces alike")
def step(context, count):
    context.fit = latency_fit.LatencyFit(0.0)
    for number in range(count):
        sign = 1 if number % 2 else -1
        context.fit.record({"a": sign, "b": sign}, 0.4 * sign, number / 10)


@behave.then("neither of the images is known")
def step(context):
    for image in ("a", "b"):
        estimate = context.fit.estimate(image, 5.0)
        assert not estimate.is_confident, estimate


@behave.when("{count:d} samples change the pace of one of them")
def step(context, count):
    for number in range(count):
        sign = 1 if number % 2 else -1
        context.fit.record({"a": sign}, 0.4 * sign, 5 + number / 10)


@behave.then("both images are known with errors below {error:g}")
def step(context, error):
    for image, effect in (("a", 0.4), ("b", 0.0)):
        estimate = context.fit.estimate(image, 6.0)
        assert estimate.is_confident, estimate
        assert abs(estimate.rise - effect) < error, estimate


@behave.when("{count:d} samples of an image come in {seconds:d} s")
def step(context, count, seconds):
    context.fit = latency_fit.LatencyFit(0.0)
    for number in range(count):
        context.fit.record({"a": 1.0}, 0.8, number * seconds / count)
    context.at_s = float(seconds)


@behave.when("one sample is {factor:d} times the others")
def step(context, factor):
    context.at_s += 1
    context.fit.record({"a": 1.0}, 0.8 * factor, context.at_s)


@behave.then("its estimated effect is less than a third off")
def step(context):
    rise = context.fit.estimate("a", context.at_s).rise
    assert 0.8 <= rise < 0.8 * 4 / 3, rise


@behave.when("{count:d} samples show no effect any more")
def step(context, count):
    for _ in range(count):
        context.at_s += 1
        context.fit.record({"a": 1.0}, 0.0, context.at_s)


@behave.then("its estimated effect is a quarter of the effect or less")
def step(context):
    rise = context.fit.estimate("a", context.at_s).rise
    assert abs(rise) <= 0.8 / 4, rise


@behave.then("the effect of the image is known")
def step(context):
    assert context.fit.estimate("a", context.at_s).is_confident


@behave.when("{seconds:d} s pass without samples")
def step(context, seconds):
    context.at_s += seconds


@behave.then("the effect of the image isn't known")
def step(context):
    assert not context.fit.estimate("a", context.at_s).is_confident


@behave.then("its estimated effect is nearer to the prior than to its samples")
def step(context):
    rise = context.fit.estimate("a", context.at_s).rise
    prior = latency_fit.PRIOR_RISE
    assert prior <= rise < (prior + 0.8) / 2, rise


@behave.when("{count:d} images affect each of {affected:d} others")
def step(context, count, affected):
    context.learned = interference.Interference()
    now_s = 0.0
    for number in range(count):
        for is_beside in (False, True):
            run = worker_trace.BestEffortRun(
                f"from-{number}", 100 if is_beside else 0
            )
            now_s += 1.0
            for other in range(affected):
                context.learned.record_paces(f"i-{other}", [run], now_s)
            now_s += 1.0
            for other in range(affected):
                context.learned.record_status(
                    f"i-{other}",
                    [
                        interference.AffectedRun(
                            run_key(0), f"on-{other}", 0.8 if is_beside else 0.3
                        )
                    ],
                    now_s,
                )
    context.at_s = now_s


def run_key(number):
    return task_runs.RunKey(f"{number:016x}", model.TaskKey(0, 0, 0), 1)


@behave.then("only the last {count:d} images are known in each role")
def step(context, count):
    known = [
        (number, other)
        for number in range(100)
        for other in range(100)
        if context.learned.estimate(
            f"from-{number}", f"on-{other}", context.at_s
        ).samples
    ]
    assert known, known
    assert len({number for number, _ in known}) <= count
    assert len({other for _, other in known}) <= count
    assert min(number for number, _ in known) >= 100 - count
    assert min(other for _, other in known) >= 100 - count


def workers_of(context, job):
    return {run.worker_id for run in job.active_runs()}


def place(context, image, **fields):
    job = context.world.submit(
        interference_world.best_effort_step(image, 1, **fields)
    )
    placed = workers_of(context, job)
    assert len(placed) == 1, placed
    with_service = set(context.world.workers_with(SERVICE))
    return bool(placed & with_service)


@behave.then("a task of {image} is placed where no service runs")
def step(context, image):
    assert not place(context, image, max_per_worker=0)


@behave.then("a task of {image} is placed where a service runs")
def step(context, image):
    assert place(context, image, max_per_worker=0)


@behave.then(
    "a service prefers the worker with none to a fuller one with heavy"
)
def step(context):
    service = interference_world.service_step(1)
    learned = context.world.partition.state.interference
    snapshots = [
        placement.WorkerSnapshot(
            image,
            "",
            frozenset(),
            model.Resources(free, 9_000),
            model.Resources(9_000, 9_000),
            {},
            best_effort_images=((image, 1),),
        )
        for image, free in (("heavy", 4_000), ("none", 8_000))
    ]
    key = "f" * 16, 0, 0
    rise = learned.rise_beside(service, SERVICE)
    chosen = placement.select_worker(snapshots, service, key, rise=rise)
    assert chosen.worker_id == "none", chosen
    assert placement.select_worker(snapshots, service, key) is snapshots[0]


@behave.when("only workers with services have room")
def step(context):
    with_service = context.world.workers_with(SERVICE)
    cordon(context, set(context.world.worker_ids) - set(with_service))


def cordon(context, worker_ids, reason="test"):
    state = context.world.partition.state
    for worker_id in worker_ids:
        state.watches[worker_id].view.cordoned_for = reason
        state.changed_workers.add(worker_id)


@behave.when(
    "worker {worker_id} goes silent with {factor:g} times its tail latency"
)
def step(context, worker_id, factor):
    context.world.silent.add(worker_id)
    context.world.slowness[worker_id] = factor
    context.paces = paces_on(context, worker_id)


def paces_on(context, worker_id):
    return [run.pace_percent for run, _ in context.world.runs(worker_id)]


@behave.then("the paces on worker {worker_id} have not changed since")
def step(context, worker_id):
    assert paces_on(context, worker_id) == context.paces


@behave.when("worker {worker_id} of a service answers again")
def step(context, worker_id):
    context.world.silent.remove(worker_id)


@behave.then("none is still known")
def step(context):
    partition = context.world.partition
    estimate = partition.state.interference.estimate(
        "none", SERVICE, partition.now_s
    )
    assert estimate.is_confident, estimate


@behave.when("another owner takes the services over")
def step(context):
    context.world.change_owner()


@behave.then("no pair of images is known")
def step(context):
    learned = context.world.partition.state.interference
    assert not learned.known_pairs, learned.known_pairs


@behave.when("changes of pace are lost for {seconds:d} s")
def step(context, seconds):
    context.world.loses_paces = True
    context.world.pass_time(seconds)
    context.world.loses_paces = False


@behave.then(
    "heavy and none are logged as learned, with at most one line a second"
)
def step(context):
    lines = context.world.log_lines("interference:learned")
    learned = {fields["interfering"] for _, fields in lines}
    assert {"heavy", "none"} <= learned, lines
    times = [at_s for at_s, _ in lines]
    gaps = [later - at_s for at_s, later in zip(times, times[1:], strict=False)]
    assert all(gap > 0.999 for gap in gaps), times


@behave.then("paced tasks are counted")
def step(context):
    counts = context.world.counts
    assert counts["chervillead_interference", "paced"] >= 6, counts


@behave.given(
    "8 workers with services at 0.8 of their target on 4, and heavy beside them"
)
def step(context):
    build_world(context, 8, 0, ())
    world = context.world
    world.effects["heavy"] = 0.5
    for worker_id in world.worker_ids:
        world.slowness[worker_id] = 0.8 / interference_world.BASE_RATIO
    context.busy, context.others = world.worker_ids[:4], world.worker_ids[4:]
    context.services = 4
    # Submitted once the scenario has said how it differs.
    context.mover = interference_world.best_effort_step("heavy", 4)
    context.heavy = None


def start_mover(context):
    """Submits the services, and heavy while there is room beside them only."""
    if context.heavy is not None:
        return
    if context.services == 4:
        cordon(context, context.others)
    service = interference_world.service_step(context.services)
    context.service = context.world.submit(service)
    cordon(context, context.others)
    context.heavy = context.world.submit(context.mover)
    assert workers_of(context, context.heavy) == set(context.busy)


@behave.given("the tasks of heavy have no checkpoints")
def step(context):
    context.mover = context.mover._replace(checkpointing=False)


@behave.given("no task of heavy may be made unavailable")
def step(context):
    context.mover = context.mover._replace(long_running=True, max_unavailable=0)


@behave.given("the owner can't be sure of its ownership")
def step(context):
    start_mover(context)
    ownership = context.world.partition.state.ownership
    ownership.is_confirmed = lambda: False


@behave.given("the other workers run services at 0.8 of their target too")
def step(context):
    context.services = 8


@behave.when("the workers without services get room")
def step(context):
    cordon(context, context.others, "")


@behave.when("the workers with services go silent as the others get room")
def step(context):
    context.world.silent.update(context.busy)
    cordon(context, context.others, "")


@behave.then("no best-effort task has moved")
def step(context):
    assert workers_of(context, context.heavy) == set(context.busy)
    assert not context.world.log_lines("run:moving")
    assert not context.world.counts["chervillead_interference", "moved"]


@behave.then("every task of heavy runs at full pace where no service runs")
def step(context):
    paces = context.world.paces("heavy")
    assert paces == dict.fromkeys(context.others, 100), paces


@behave.then("the services are where they were")
def step(context):
    assert workers_of(context, context.service) == set(context.busy)


@behave.then("tasks have moved one at a time, at least 1 s apart")
def step(context):
    times = [at_s for at_s, _ in context.world.log_lines("run:moving")]
    assert len(times) == 4, times
    assert context.world.counts["chervillead_interference", "moved"] == 4
    gaps = [later - at_s for at_s, later in zip(times, times[1:], strict=False)]
    assert all(gap > 0.999 for gap in gaps), times


@behave.then("each task of heavy has one run, where it was")
def step(context):
    runs = list(context.heavy.active_runs())
    assert len(runs) == 4, runs
    assert workers_of(context, context.heavy) == set(context.busy)
