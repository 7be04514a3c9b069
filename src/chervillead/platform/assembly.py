"""Builds an entry host on the platform from its settings."""

import asyncio
from collections import abc
import secrets
import time
import typing

from chervillead import event_loop_lag
from chervillead import http_exchange
from chervillead import metrics_page
from chervillead import types
from chervillead.entries import host_messages
from chervillead.entries import job_messages
from chervillead.entries import job_streams
from chervillead.jobs import job_api
from chervillead.platform import advice_client
from chervillead.platform import fleet_configuration
from chervillead.platform import fleet_view
from chervillead.platform import host_client
from chervillead.platform import host_management
from chervillead.platform import operator_sync
from chervillead.platform import registrations
from chervillead.platform import request_limits
from chervillead.platform import settings as settings_module
from chervillead.platform import store_client
from chervillead.platform import worker_client
from chervillead.platform import worker_entries
from chervillead.pools import group_members
from chervillead.pools import job_router
from chervillead.pools import job_service
from chervillead.pools import owner_eligibility
from chervillead.pools import owner_role
from chervillead.pools import ownership
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface
from chervillead.store import keyed_follower
from chervillead.store import keyed_state

# Longest wait of a poll for operator records, as a fraction of their maximum
# age. A poll confirms them as of its start, so they are twice as old when the
# next one ends; that must not make a host ask its peers.
OPERATOR_POLL_WAIT_FRACTION = 0.27
# Workers write often, so reads are spaced to batch their changes.
WORKERS_READ_INTERVAL_S = 0.25
# A worker writes at most this many records within the longest lease.
WORKER_HISTORY_RECORDS = 12
# A list of owners older than two intervals of its refresh decides no role.
OWNERS_MAX_AGE_S = 2.0


def boot_time() -> float:
    """Returns seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HostEnvironment(typing.NamedTuple):
    """Clocks and network access of an entry host.

    Attributes:
        clock: Monotonic and wall clock.
        boot_time: Returns seconds since boot, including time suspended.
        dial: Opens a connection to an address.
        listen: Accepts connections at an address.
    """

    clock: types.Clock = types.Clock(time.monotonic, time.time)
    boot_time: abc.Callable[[], float] = boot_time
    dial: http_exchange.Dial = http_exchange.dial
    listen: http_exchange.Listen = http_exchange.listen


class EntryHost:
    """Components of one entry host and the calls between them."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        log: abc.Callable[..., None],
        environment: HostEnvironment,
    ) -> None:
        self.settings = settings
        self.environment = environment
        self.clock = environment.clock
        self.metrics = metrics_page.MetricsPage()
        self.log = log
        self.stopping = asyncio.Event()
        self.loop_lag = event_loop_lag.RecentLag()
        self.fleet_view = fleet_view.FleetView(
            environment.boot_time, self.clock.monotonic, self.log
        )
        self.limiter = request_limits.create_limiter(
            settings.request_limits,
            self.max_body_bytes,
            self.metrics,
            self.log,
            self.clock.monotonic,
        )
        self.store: store_interface.Store = store_client.connect_store(
            settings.store.address,
            self.metrics.increment,
            dial=environment.dial,
            max_record_bytes=settings.store.max_record_bytes,
        )
        member = group_members.Member(
            settings.entries,
            secrets.token_hex(4),
            settings.host,
            settings.zone,
            settings.cores,
        )
        self.owner_ports = ports_module.OwnerPorts(
            store=self.store,
            open_worker=worker_client.connect_workers(
                self.metrics.increment, dial=environment.dial
            ),
            clock=self.clock,
            limits=settings.limits,
            configuration=lambda: self.fleet_view.configuration,
            zones_out=lambda: self.fleet_view.zones_out,
            is_current=self.is_current,
            log=self.log,
            increment=self.metrics.increment,
            observe=self.metrics.observe,
            call_owner=self.call_owner,
            ask_advice=settings.advice
            and advice_client.connect_advice(
                settings.advice, dial=environment.dial
            ),
            sizes_by_offered_load=settings.sizes_by_offered_load,
            loop_lag_s=lambda: self.loop_lag.highest_s,
            held_bytes=self.accepted_job_bytes,
        )
        self.metrics.gauge(
            "chervillead_accepted_job_bytes",
            "Memory of the accepted jobs of the pools that this host owns.",
            self.accepted_job_bytes,
        )
        self.metrics.gauge(
            "chervillead_isolated_workers",
            "Workers that are kept for tasks that may crash them.",
            self.isolated_workers,
        )
        self.ownership = ownership.Ownership(
            member,
            self.owner_ports,
            environment.boot_time,
            self.manage_hosts,
            owner_role.OwnerRole(
                member.candidate,
                owner_role.RolePorts(
                    self.recent_owners,
                    settings.store.partitions,
                    environment.boot_time,
                    self.log,
                ),
            ),
        )
        self.streams = job_streams.JobStreams(self.clock, dial=environment.dial)
        self.router = job_router.JobRouter(
            self.store,
            self.streams,
            self.ownership,
            self.clock,
            self.log,
            self.serve_host_call,
        )
        self.worker_entries = worker_entries.WorkerEntries(
            self.fleet_view, self.partition_of, self.log
        )
        self.metrics.gauge(
            "chervillead_ignored_workers",
            "Listed workers whose pool no configuration names.",
            lambda: len(self.worker_entries.ignored),
        )
        self.host_manager = host_management.HostManager(
            self.fleet_view,
            self.owner_ports,
            self.partition_of,
            self.router.call_hosts_owner,
        )
        self.fleet_view.on_change(self.update_workers)
        self.ownership.on_change(self.update_workers)

    def max_body_bytes(self) -> int:
        """Returns the configured limit of one body, in bytes."""
        configuration = self.fleet_view.configuration
        if configuration is None:
            return fleet_configuration.DEFAULT_MAX_BODY_BYTES
        return configuration.max_body_bytes

    def accepted_job_bytes(self) -> int:
        """Returns the memory of the jobs of all owned partitions, in bytes."""
        return sum(
            owner.state.jobs.held.total_bytes
            for owner in self.ownership.owners.values()
        )

    def isolated_workers(self) -> int:
        """Returns how many workers are kept for suspected tasks."""
        now_s = self.clock.monotonic()
        return sum(
            watch.view.is_isolated(now_s)
            for owner in self.ownership.owners.values()
            for watch in owner.state.watches.values()
        )

    def partition_of(self, pool: str) -> int:
        """Returns the store partition that holds the jobs of a pool."""
        return pool_partitions.partition_of(
            pool, self.settings.store.partitions
        )

    async def call_owner(
        self, call: job_messages.JobCall, timeout_s: float
    ) -> job_api.ReplyOutcome:
        """Calls the owner of a partition, for the owner of another one."""
        return await self.router.call(call, timeout_s)

    def recent_owners(self) -> set[owner_eligibility.Candidate] | None:
        """Returns the owners, or None if the store's list is out of date."""
        if self.router.members_age_s() > OWNERS_MAX_AGE_S:
            return None
        return {member.candidate for member in self.router.members.values()}

    async def serve_host_call(
        self, call: host_messages.HostCall
    ) -> host_messages.HostReply:
        """Answers a peer's call about hosts."""
        return await self.host_manager.serve(call)

    def record_loop_lag(self, lag_s: float) -> None:
        """Records how late the event loop ran, in seconds."""
        self.loop_lag.record(lag_s)
        self.metrics.observe("loop_lag_seconds", lag_s)

    def update_workers(self) -> None:
        """Passes each loaded owner the workers of its pools."""
        self.worker_entries.pass_on(self.ownership.owners)

    async def manage_hosts(self, owner: partition_owner.PartitionOwner) -> None:
        """Maintains and resizes an owner's pools until cancelled.

        Returns at once if the settings name no hosts service.
        """
        if self.settings.hosts_service is None:
            return
        calls = host_client.connect_hosts_service(
            self.settings.hosts_service,
            self.settings.host,
            self.metrics.increment,
            dial=self.environment.dial,
        )
        await self.host_manager.run(owner, calls)

    def is_ready(self) -> bool:
        """Returns whether the load balancer should route to this host."""
        return (
            not self.stopping.is_set()
            and self.fleet_view.configuration is not None
            and self.is_current()
            and bool(self.router.members)
        )

    def is_current(self) -> bool:
        """Returns whether the configuration may decide about calls.

        Beyond `config_max_age_s` a key may have been withdrawn, or a queue
        added, without this host having noticed.
        """
        return self.fleet_view.age_s() < self.settings.config_max_age_s

    def job_ports(self) -> job_api.JobPorts:
        """Returns the dependencies of job calls, bound to this host."""
        return job_api.JobPorts(
            configuration=lambda: self.fleet_view.configuration,
            is_current=self.is_current,
            configuration_age_s=self.fleet_view.age_s,
            partitions=self.settings.store.partitions,
            partition_of=self.partition_of,
            call_owner=self.router.call,
            log=self.log,
        )

    def sync_ports(self) -> operator_sync.SyncPorts:
        """Returns the dependencies of fetches of records from peers."""
        return operator_sync.SyncPorts(
            view=self.fleet_view,
            peers=self.router.peer_addresses,
            ask=self.streams.ask,
            max_age_s=lambda: self.settings.config_max_age_s,
            boot_time=self.environment.boot_time,
            apply_owners=self.router.apply_peer_owners,
            increment=self.metrics.increment,
            log=self.log,
        )

    def background_coroutines(
        self,
    ) -> list[abc.Coroutine[typing.Any, typing.Any, None]]:
        """Returns the coroutines to run for the lifetime of the host."""
        return [
            _follow_operator_records(self),
            _follow_workers(self),
            self.ownership.maintain_membership(),
            self.router.refresh_owners(),
            _serve_entries(self),
            operator_sync.sync(self.sync_ports()),
            event_loop_lag.watch(
                self.clock.monotonic,
                self.record_loop_lag,
                self.log,
            ),
        ]


class _Dependency:
    """Logs when a dependency of the host is lost and regained."""

    def __init__(self, name: str, log: abc.Callable[..., None]) -> None:
        self._name = name
        self._log = log
        self._is_lost = False

    def record_success(self) -> None:
        """Logs that the dependency is back if it was lost."""
        if self._is_lost:
            self._log("dependency:regained", name=self._name)
        self._is_lost = False

    def record_failure(self, failure: store_interface.StoreFailure) -> None:
        """Logs the first failure of a series."""
        if not self._is_lost:
            self._log("dependency:lost", name=self._name, error=failure.detail)
        self._is_lost = True


async def _follow_operator_records(host: EntryHost) -> None:
    dependency = _Dependency("store", host.log)

    def confirmed(as_of_s: float) -> None:
        host.fleet_view.confirm(as_of_s)
        dependency.record_success()

    await keyed_follower.follow(
        host.store,
        fleet_configuration.OPERATOR_TOPIC,
        host.fleet_view.operator_state,
        wait_ms=int(
            1000 * OPERATOR_POLL_WAIT_FRACTION * host.settings.config_max_age_s
        ),
        boot_time=host.environment.boot_time,
        apply_changes=host.fleet_view.apply_operator,
        on_current=confirmed,
        on_failure=dependency.record_failure,
    )


async def _follow_workers(host: EntryHost) -> None:
    dependency = _Dependency("list of workers", host.log)
    await keyed_follower.follow(
        host.store,
        registrations.WORKERS_TOPIC,
        keyed_state.KeyedState(),
        wait_ms=0,
        pause_s=WORKERS_READ_INTERVAL_S,
        boot_time=host.environment.boot_time,
        apply_changes=host.fleet_view.apply_workers,
        on_current=lambda as_of_s: dependency.record_success(),
        on_failure=dependency.record_failure,
        apply_history=host.fleet_view.apply_worker_history,
        history_records_per_key=WORKER_HISTORY_RECORDS,
    )


async def _serve_entries(host: EntryHost) -> None:
    async def serve(call: job_messages.Call) -> job_messages.Reply:
        if isinstance(call, job_messages.AskOperatorRecords):
            records = host.fleet_view.records_for_peer(call)
            return records._replace(owners=host.router.owners_for_peer())
        if isinstance(call, host_messages.HostCall):
            return await host.serve_host_call(call)
        return await job_service.serve(call, host.ownership)

    await host.environment.listen(
        host.settings.entries,
        job_streams.serve_calls(serve, host.clock, host.limiter),
    )
