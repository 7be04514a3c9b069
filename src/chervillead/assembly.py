"""Assembles the components of one entry host.

The daemon and the tests use the same components; only the clock and the
functions that open or accept connections differ.
"""

import asyncio
from collections import abc
import typing

import eliot
from returns import pipeline
from returns import result

from chervillead import http_exchange
from chervillead import maintenance_wiring
from chervillead import metrics
from chervillead import recovery_wiring
from chervillead import settings as settings_module
from chervillead import types
from chervillead import verdicts
from chervillead.callers import answers
from chervillead.callers import application
from chervillead.callers import bodies
from chervillead.callers import cancellation
from chervillead.callers import credentials
from chervillead.callers import in_progress
from chervillead.callers import refusal_log
from chervillead.callers import request_claims
from chervillead.callers import request_limiter
from chervillead.callers import submission
from chervillead.entries import dispatch_client
from chervillead.entries import dispatcher
from chervillead.entries import host as host_module
from chervillead.entries import host_tasks
from chervillead.entries import messages
from chervillead.fleet import host_list
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import snapshot_writer
from chervillead.upstreams import leases
from chervillead.upstreams import pool
from chervillead.upstreams import retry_budget


class Assembly(typing.NamedTuple):
    """The components of one entry host.

    Attributes:
        settings: Its settings.
        clock: Clock that all components use.
        reader: Reads the log and holds the folded configuration.
        platform: Client of the platform's log and host list.
        entry: State and messages of this host as one of the entry hosts.
        pools: Connection pools to upstreams.
        running_tasks: Tasks that run at present and whose leases are renewed.
        submission_ports: Functions that the submission of a request calls.
        dial: Opens connections.
        listen: Accepts connections.
        limiter: Limits on what clients make the host hold.
        host_list: Cache of the platform's list of live and leaving hosts.
    """

    settings: settings_module.Settings
    clock: types.Clock
    reader: log_reader.LogReader
    platform: log_client.PlatformClient
    entry: host_module.EntryHost
    pools: pool.UpstreamPools
    running_tasks: leases.RunningTasks
    submission_ports: submission.SubmissionPorts
    dial: http_exchange.Dial
    listen: http_exchange.Listen
    limiter: request_limiter.RequestLimiter
    host_list: host_list.HostListCache


def assemble(
    settings: settings_module.Settings,
    clock: types.Clock,
    *,
    dial: http_exchange.Dial = http_exchange.dial,
    listen: http_exchange.Listen = http_exchange.listen,
) -> Assembly:
    """Creates the components of an entry host without starting any task."""
    reader = log_reader.LogReader(clock)
    platform = log_client.connect_platform(
        settings.platform.address,
        timeout_s=settings.platform.timeout_s,
        dial=dial,
    )
    requests = in_progress.RequestsInProgress()
    hosts = host_list.HostListCache(clock)
    limiter = _create_limiter(settings, clock)
    entry = host_module.EntryHost(
        settings, reader, clock, limiter, requests.cancel, lambda: hosts.hosts
    )
    pools = pool.UpstreamPools(
        clock,
        dial,
        lambda upstream: pool.connection_limit(reader.configuration, upstream),
    )
    running_tasks = leases.RunningTasks(clock)
    return Assembly(
        settings,
        clock,
        reader,
        platform,
        entry,
        pools,
        running_tasks,
        _submission_ports(
            entry, settings, pools, running_tasks, requests, clock
        ),
        dial,
        listen,
        limiter,
        hosts,
    )


def _create_limiter(
    settings: settings_module.Settings, clock: types.Clock
) -> request_limiter.RequestLimiter:
    increment = metrics.connect_metrics(settings.statsd).increment
    refusals = refusal_log.RefusalLog(
        eliot.log_message,
        lambda *names: increment(metrics.metric_name(*names), 1),
        clock.monotonic,
    )
    return request_limiter.RequestLimiter(
        request_limiter.Limits(
            # A quarter of the machine; the rest is for claims and answers.
            memory_bytes=settings.memory_mb * 1024 * 1024 // 4,
            connections=settings.max_fds // 2,
        ),
        lambda: bodies.MAX_BODY_BYTES,
        refusals.report,
    )


async def run_background(parts: Assembly) -> None:
    """Runs all tasks except the HTTP front end until cancelled."""
    recovery = recovery_wiring.recovery_ports(
        lambda: parts.reader.configuration,
        lambda: parts.host_list.hosts,
        parts.pools,
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(log_reader.follow_log(parts.reader, parts.platform))
        tasks.create_task(
            host_list.poll_host_list(parts.host_list, parts.platform)
        )
        tasks.create_task(
            snapshot_writer.write_snapshots(
                parts.reader,
                parts.platform,
                parts.clock,
                host=parts.settings.host,
                live=lambda: parts.entry.membership.live,
            )
        )
        tasks.create_task(
            maintenance_wiring.run_maintenance_tasks(
                parts.settings.host,
                parts.entry,
                parts.reader,
                parts.platform,
                parts.host_list,
                parts.clock,
                parts.pools,
            )
        )
        tasks.create_task(
            host_tasks.run_entry_host(
                parts.entry,
                parts.settings,
                parts.reader,
                parts.platform,
                parts.clock,
                dial=parts.dial,
                listen=parts.listen,
                is_task_finished=recovery.is_task_finished,
                read_tasks=recovery.read_tasks,
            )
        )
        tasks.create_task(
            leases.renew_leases(
                parts.running_tasks,
                parts.pools,
                parts.clock,
                lease_s=dispatcher.LEASE_MS / 1000,
            )
        )


def front_end_ports(
    parts: Assembly, is_stopping: abc.Callable[[], bool]
) -> application.FrontEndPorts:
    """Returns the functions that the HTTP front end needs.

    Args:
        parts: The components of the entry host.
        is_stopping: Returns whether the entry host is shutting down.
    """

    async def submit(
        request: types.Request,
        claimed: bool,
        progress: in_progress.RequestProgress,
    ) -> submission.RequestOutcome:
        return await submission.submit(
            request, parts.submission_ports, claimed=claimed, progress=progress
        )

    def cancel(request_id: str) -> None:
        holder = parts.entry.claim_holder(request_id)
        if holder is not None:
            parts.entry.post(holder, messages.Cancel(request_id))

    return application.FrontEndPorts(
        authorize=lambda queue, key: credentials.authorize(
            parts.reader.configuration, queue, key, parts.reader.unconfirmed_s
        ),
        team_of_key=lambda key: credentials.team_of_key(
            parts.reader.configuration, key
        ),
        submit=submit,
        lookup=parts.submission_ports.lookup,
        cancel=cancel,
        answers=answers.AnswerCache(parts.clock),
        limiter=parts.limiter,
        running_submissions=set(),
        is_ready=lambda: (
            parts.reader.configuration.offset >= 0 and not is_stopping()
        ),
        is_stopping=is_stopping,
        clock=parts.clock,
    )


def _submission_ports(
    entry: host_module.EntryHost,
    settings: settings_module.Settings,
    pools: pool.UpstreamPools,
    running_tasks: leases.RunningTasks,
    requests: in_progress.RequestsInProgress,
    clock: types.Clock,
) -> submission.SubmissionPorts:
    """Returns the functions that the submission of a request calls."""
    dispatch = entry.dispatch_ports()
    budget = retry_budget.RetryBudget()

    async def claim(
        request: types.Request, attempt: int
    ) -> result.Result[types.Answer | None, verdicts.Refusal]:
        reply = await entry.ask_claim_holder(
            request.request_id,
            request_claims.encode_claim(request, settings.host, attempt),
        )
        return reply.bind(request_claims.claim_outcome)

    def report_finished(
        request: types.Request,
        attempt: int,
        verdict: verdicts.Verdict,
        answer: types.Answer | None,
    ) -> None:
        holder = entry.claim_holder(request.request_id)
        if holder is not None:
            entry.post(
                holder,
                request_claims.encode_finished(
                    request, attempt, verdict, answer
                ),
            )

    async def lookup(
        request_id: str,
    ) -> result.Result[messages.ClaimState, verdicts.Refusal]:
        return await entry.ask_claim_holder(
            request_id, messages.Lookup(request_id)
        )

    def cancel_acquire(request_id: str) -> None:
        dispatch.waiters.refuse(
            messages.Refused(request_id, cancellation.CANCELLED, 410, "", 0)
        )

    async def stop_task(grant: types.Grant, request_id: str) -> bool:
        return await leases.stop_task(pools, grant, request_id)

    async def acquire(
        request: types.Request,
    ) -> result.Result[types.Grant, verdicts.Refusal]:
        grant = await dispatch_client.acquire(request, dispatch)
        if pipeline.is_successful(grant):
            entry.held.record_grant(request, grant.unwrap())
        return grant

    async def send(
        request: types.Request, grant: types.Grant
    ) -> submission.RequestOutcome:
        budget.record_attempt()
        try:
            return await pool.send(
                pools,
                request,
                grant,
                clock,
                on_written=lambda call: running_tasks.add(grant, call),
            )
        finally:
            running_tasks.discard(grant)

    def release(
        grant: types.Grant,
        verdict: verdicts.Verdict,
        failed: bool,
        run_s: float,
    ) -> None:
        dispatch_client.release(
            grant, dispatch, verdict=verdict, failed=failed, run_s=run_s
        )

    return submission.SubmissionPorts(
        claim,
        report_finished,
        lookup,
        acquire,
        cancel_acquire,
        send,
        stop_task,
        release,
        requests,
        clock,
        budget.take_retry,
        # A log message outside an eliot task would start a task of its own,
        # which costs as much as the message itself.
        eliot.start_task(action_type="callers:requests").log,
    )
