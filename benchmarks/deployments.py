"""The users' measures in the two deployments, product beside baseline.

The model has no network: latencies delay messages and answers, and the rest is
the product's own decisions. Bounds come from the stated targets and from the
baseline of the same run, never from the product's own figures.
"""

from collections import abc
import statistics
import typing

from benchmarks import deployment_baseline
from benchmarks import deployment_model
from benchmarks import deployment_product
from benchmarks import figures
from chervillead.fleet import configuration as configuration_module

SEED = 20261204
UNTIL_S = 1500.0
ROLLOUT_S = 60.0
OUT_S, BACK_S, SETTLED_S = 900.0, 1200.0, 1260.0
# A loss of one zone of four leaves the first queue short for as long as it
# lasts; the others only in their bursts.
# The target that the model's queues state.
TARGET_PART = deployment_model.TARGET_PART
FIRST_MEAN, OTHER_MEAN = 0.7, 0.4

DEPLOYMENTS = (
    deployment_model.Deployment(
        "vn-south",
        (
            "wedding-billing",
            "licensing",
            "studio-receipts",
            "press-payouts",
            "portal",
        ),
        0.001,
        0.001,
        ("buffer cost", "distance from share"),
    ),
    deployment_model.Deployment(
        "scot-central",
        (
            "door-open-checks",
            "term-planning",
            "bank-cover",
            "inspection-evidence",
            "back-office",
        ),
        0.0005,
        0.003,
        ("work in zone loss", "roll-out time"),
    ),
)


class Measures(typing.NamedTuple):
    """Figures of one run."""

    buffer_host_h: float
    rollout_s: float
    task_moves: float
    shortfalls: dict[str, float]
    targets: dict[str, float]
    zone_loss_work_s: float
    broken_budgets: int


def measure() -> abc.Iterator[figures.BenchmarkResult]:
    """Yields product and baseline of each row, for both deployments."""
    for deployment in DEPLOYMENTS:
        product = run_product(deployment)
        baseline = run_baseline(deployment)
        yield from _rows(deployment, product, baseline)


def run_product(deployment: deployment_model.Deployment) -> Measures:
    """Runs the product's decisions."""
    world = deployment_model.World(deployment, SEED)
    dispatch = deployment_product.ProductDispatch(world)
    maintenance = deployment_product.ProductMaintenance(world)

    def begin() -> None:
        world.configuration = world.configuration._replace(
            rollouts={
                "kernel": configuration_module.Rollout(
                    deployment.services[0], "6.1"
                )
            }
        )

    world.at(ROLLOUT_S, begin)
    _run(world, dispatch.submit)
    return _measures(
        world, maintenance.borrowed_host_s, maintenance.rolled_out_s
    )


def run_baseline(deployment: deployment_model.Deployment) -> Measures:
    """Runs the baseline on the same requests and events."""
    world = deployment_model.World(deployment, SEED)
    dispatch = deployment_baseline.BaselineDispatch(world)
    maintenance = deployment_baseline.BaselineMaintenance(
        world, dispatch, deployment.services[0], ROLLOUT_S
    )
    _run(world, dispatch.submit)
    idle_s = deployment_baseline.IDLE_SPARES * UNTIL_S
    return _measures(world, idle_s, maintenance.rolled_out_s)


def _run(
    world: deployment_model.World,
    submit: abc.Callable[[deployment_model.Work], None],
) -> None:
    services = world.deployment.services
    means = dict.fromkeys(services, OTHER_MEAN) | {services[0]: FIRST_MEAN}
    world.plan_arrivals(means, UNTIL_S, submit)
    world.every(1.0, world.sample_shares)
    world.at(OUT_S, lambda: world.set_zone("b", "out"))
    world.at(BACK_S, lambda: world.set_zone("b", "in"))
    # Requests submitted last still get their time.
    world.run(UNTIL_S + deployment_model.DEADLINE_S + 20.0)


def _measures(
    world: deployment_model.World, buffer_host_s: float, rolled_out_s: float
) -> Measures:
    met = dict.fromkeys(world.deployment.services, 0)
    for work, answered_s in world.answered:
        within_s = answered_s - work.submitted_s
        met[work.queue] += within_s <= deployment_model.TARGET_S
    return Measures(
        buffer_host_s / 3600,
        rolled_out_s - ROLLOUT_S,
        world.task_moves,
        {
            team: statistics.fmean(found) if found else 0.0
            for team, found in world.shortfalls.items()
        },
        {q: met[q] / world.submitted_by_queue[q] for q in met},
        sum(
            work.run_s
            for work, answered_s in world.answered
            if OUT_S <= answered_s < SETTLED_S
        ),
        world.broken_budgets,
    )


def _rows(
    deployment: deployment_model.Deployment,
    product: Measures,
    baseline: Measures,
) -> abc.Iterator[figures.BenchmarkResult]:
    """Yields a row for each measure; a row is bound where it must not lose."""
    lower = [
        ("buffer cost, host-h", product.buffer_host_h, baseline.buffer_host_h),
        ("roll-out time, s", product.rollout_s, baseline.rollout_s),
        ("task moves", product.task_moves, baseline.task_moves),
        (
            "distance from share, mean",
            statistics.fmean(product.shortfalls.values()),
            statistics.fmean(baseline.shortfalls.values()),
        ),
    ]
    higher = [
        (
            "work in zone loss, slot-s",
            product.zone_loss_work_s,
            baseline.zone_loss_work_s,
        )
    ]
    name = deployment.name
    for queue, part in product.targets.items():
        yield figures.BenchmarkResult(
            f"{name}: target met, {queue}",
            part,
            f">= {TARGET_PART} ({baseline.targets[queue]:.3f})",
            part >= TARGET_PART,
        )
    for row, ours, theirs in lower:
        is_bound = row.startswith(deployment.weighed)
        yield _row(f"{name}: {row}", ours, theirs, "<=", is_bound)
    for row, ours, theirs in higher:
        is_bound = row.startswith(deployment.weighed)
        yield _row(f"{name}: {row}", ours, theirs, ">=", is_bound)
    for team, ours in product.shortfalls.items():
        yield _row(
            f"{name}: distance from share, {team}",
            ours,
            baseline.shortfalls[team],
            "<=",
            False,
        )
    yield figures.BenchmarkResult(
        f"{name}: reboots beyond a budget or a task",
        product.broken_budgets,
        "0",
        product.broken_budgets == 0,
    )


def _row(
    name: str, ours: float, theirs: float, sign: str, is_bound: bool
) -> figures.BenchmarkResult:
    """Returns a row; one without a bound shows the baseline all the same."""
    holds = ours <= theirs if sign == "<=" else ours >= theirs
    text = f"{sign} {theirs:.3f}" if is_bound else f"({theirs:.3f})"
    return figures.BenchmarkResult(name, ours, text, holds or not is_bound)
