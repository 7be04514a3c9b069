"""A small model of a deployment: requests, hosts and time, but no decisions.

Requests wait and run in steps of events; who starts where, and which host
drains or moves, is decided by the functions that are handed in.
"""

from collections import abc
import heapq
import itertools
import random
import typing

from chervillead import types
from chervillead.fleet import configuration as configuration_module

ZONES = ("a", "b", "c", "d")
# Share of each team when all is full, and its part of the requests: the
# largest asks for more than its share, as the tension in each burst.
TEAMS = {
    "t0": (30.0, 0.45),
    "t1": (30.0, 0.25),
    "t2": (20.0, 0.12),
    "t3": (10.0, 0.10),
    "t4": (5.0, 0.04),
    "t5": (5.0, 0.04),
}
HOSTS, SLOTS = 8, 8
RUN_S = 8.0
TARGET_S = 30.0
TARGET_PART = 0.9
DEADLINE_S = 60.0
# The cycle in which bursts of five times the mean and a twentieth in between
# give the mean.
BURST_S, CYCLE_S = 8.5, 44.3
BURST, BETWEEN = 5.0, 0.05
REBOOT_S = 120.0
MAX_UNAVAILABLE = 2


class Deployment(typing.NamedTuple):
    """One deployment of the design page.

    Attributes:
        name: Its name.
        services: Queues, each with a pool of the same name; the last is spare.
        delay_s: One-way latency between zones.
        client_delay_s: One-way latency to clients.
        weighed: Rows that it weighs more.
    """

    name: str
    services: tuple[str, ...]
    delay_s: float
    client_delay_s: float
    weighed: tuple[str, ...]


class Work(typing.NamedTuple):
    """A request of the model."""

    number: int
    queue: str
    team: str
    zone: str
    submitted_s: float
    run_s: float


class Place(typing.NamedTuple):
    """Slots in use and waiting requests of a pool by team."""

    running: dict[str, int]
    waiting: dict[str, int]


def make_configuration(
    deployment: Deployment,
) -> configuration_module.Configuration:
    """Returns the deployment's first state."""
    hosts, use = {}, {}
    for number, service in enumerate(deployment.services):
        for index in range(HOSTS):
            zone = ZONES[index % 4]
            rack = f"{zone}-{number // 2}"
            hosts[f"{service}-{index}"] = configuration_module.Host(
                service, zone, rack, types.Address("127.0.0.1", 1), SLOTS
            )
        use[service] = configuration_module.PoolUse(
            dict.fromkeys(ZONES, HOSTS // 4)
        )
    spare = deployment.services[-1]
    return configuration_module.Configuration(
        queues={
            service: configuration_module.Queue(
                service, target_part=TARGET_PART, target_s=TARGET_S
            )
            for service in deployment.services
        },
        teams={
            team: configuration_module.Team(share, 10**6, ZONES)
            for team, (share, _) in TEAMS.items()
        },
        pools={
            service: configuration_module.Pool(
                MAX_UNAVAILABLE, 2, 1, service == spare
            )
            for service in deployment.services
        },
        hosts=hosts,
        zones={z: configuration_module.Zone(i) for i, z in enumerate(ZONES)},
        pool_use=use,
    )


class World:
    """Time, requests and hosts of one run."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.configuration = make_configuration(deployment)
        self.now_s = 0.0
        self.places = {s: Place({}, {}) for s in deployment.services}
        self.running: dict[str, dict[int, Work]] = {
            name: {} for name in self.configuration.hosts
        }
        self.rebooting: dict[str, float] = {}
        self.answered: list[tuple[Work, float]] = []
        self.submitted_by_queue = dict.fromkeys(deployment.services, 0)
        self.broken_budgets = 0
        self.task_moves = 0
        self.shortfalls: dict[str, list[float]] = {t: [] for t in TEAMS}
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []

    def at(self, at_s: float, action: abc.Callable[[], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def every(self, interval_s: float, action: abc.Callable[[], None]) -> None:
        """Repeats an action."""

        def repeat() -> None:
            action()
            self.at(self.now_s + interval_s, repeat)

        self.at(interval_s, repeat)

    def run(self, until_s: float) -> None:
        """Lets time pass."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def plan_arrivals(
        self,
        means: abc.Mapping[str, float],
        until_s: float,
        submit: abc.Callable[[Work], None],
    ) -> None:
        """Plans all requests; queues burst one after the other."""
        for index, (queue, mean) in enumerate(means.items()):
            rate = mean * HOSTS * SLOTS / RUN_S
            at_s = 0.0
            while at_s < until_s:
                at_s += self._random.expovariate(BURST * rate)
                phase_s = (at_s - index * BURST_S) % CYCLE_S
                part = 1.0 if phase_s < BURST_S else BETWEEN / BURST
                if self._random.random() < part:
                    self._plan_one(queue, at_s, submit)

    def _plan_one(
        self, queue: str, at_s: float, submit: abc.Callable[[Work], None]
    ) -> None:
        parts = [part for _, part in TEAMS.values()]
        work = Work(
            next(self._numbers),
            queue,
            self._random.choices(list(TEAMS), parts)[0],
            self._random.choice(ZONES),
            at_s,
            RUN_S * self._random.uniform(0.5, 1.5),
        )
        self.submitted_by_queue[queue] += 1

        def arrive() -> None:
            self._count(work, "waiting", 1)
            submit(work)

        self.at(at_s + self.deployment.client_delay_s, arrive)

    def start(
        self, work: Work, host: str, done: abc.Callable[[], None]
    ) -> None:
        """Runs a request on a host."""
        self._count(work, "waiting", -1)
        self._count(work, "running", 1)
        self.running[host][work.number] = work

        def end() -> None:
            del self.running[host][work.number]
            self._count(work, "running", -1)
            answered_s = self.now_s + self.deployment.client_delay_s
            self.answered.append((work, answered_s))
            done()

        self.at(self.now_s + work.run_s, end)

    def refuse(self, work: Work) -> None:
        """Notes that a request will not run."""
        self._count(work, "waiting", -1)

    def reboot(self, host: str) -> bool:
        """Reboots a host once, and returns whether it is back."""
        if host not in self.rebooting:
            self.rebooting[host] = self.now_s + REBOOT_S
            pool = self.configuration.hosts[host].pool
            # Held to the budget by the model's own count of what is away.
            away = sum(
                self.configuration.hosts[name].pool == pool
                and (
                    self.rebooting.get(name, 0.0) > self.now_s
                    or not configuration_module.is_zone_in_service(
                        self.configuration, entry.zone
                    )
                )
                for name, entry in self.configuration.hosts.items()
            )
            self.broken_budgets += away > MAX_UNAVAILABLE
            self.broken_budgets += bool(self.running[host])
        return self.now_s >= self.rebooting[host]

    def is_down(self, host: str) -> bool:
        """Returns whether a host reboots now."""
        return self.rebooting.get(host, 0.0) > self.now_s

    def set_zone(self, zone: str, status: str) -> None:
        """Takes a zone out or brings it back."""
        zones = dict(self.configuration.zones)
        zones[zone] = zones[zone]._replace(
            status=configuration_module.ZoneStatus(status)
        )
        self.configuration = self.configuration._replace(zones=zones)

    def sample_shares(self) -> None:
        """Notes how far each waiting team of a full pool is below its share."""
        for pool, place in self.places.items():
            busy = sum(place.running.values())
            slots = sum(
                host.slots
                for name, host in self.configuration.hosts.items()
                if host.pool == pool
                and configuration_module.is_host_schedulable(
                    self.configuration, name
                )
            )
            if busy < 0.95 * slots or not busy:
                continue
            present = {
                team: TEAMS[team][0]
                for team in TEAMS
                if place.running.get(team) or place.waiting.get(team)
            }
            for team, share in present.items():
                due = share / sum(present.values())
                used = place.running.get(team, 0) / busy
                if place.waiting.get(team):
                    self.shortfalls[team].append(max(0.0, due - used) / due)

    def _count(self, work: Work, kind: str, change: int) -> None:
        counts = getattr(self.places[work.queue], kind)
        counts[work.team] = counts.get(work.team, 0) + change
