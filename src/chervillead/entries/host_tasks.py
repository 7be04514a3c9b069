"""Tasks of an entry host: listen, dial, hold a seat, recover."""

import asyncio

from chervillead import http_exchange
from chervillead import settings as settings_module
from chervillead import types
from chervillead.entries import config_sync
from chervillead.entries import host as host_module
from chervillead.entries import leadership
from chervillead.entries import membership
from chervillead.entries import recovery
from chervillead.entries import seat_manager
from chervillead.entries import streams
from chervillead.entries import task_recovery
from chervillead.entries import transfers
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records

POLL_INTERVAL_S = 0.1


async def run_entry_host(
    host: host_module.EntryHost,
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    platform: log_client.PlatformClient,
    clock: types.Clock,
    *,
    dial: http_exchange.Dial = http_exchange.dial,
    listen: http_exchange.Listen = http_exchange.listen,
    is_task_finished: recovery.IsTaskFinished,
    read_tasks: task_recovery.ReadTasks,
) -> None:
    """Listens for peers, dials them and holds a seat, until cancelled."""

    async def publish(record: records.Record) -> publisher.PublishedRecord:
        return await publisher.publish(record, reader, platform, clock)

    try:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_listen_for_peers(host, settings, listen))
            tasks.create_task(
                membership.send_heartbeats(
                    host.streams, host.current_heartbeat, clock
                )
            )
            tasks.create_task(
                leadership.run_ticker(host.leader_role.leadership)
            )
            tasks.create_task(_follow_leadership(host, reader))
            tasks.create_task(_dial_peers(host, settings, reader, dial))
            tasks.create_task(
                seat_manager.manage_seat(
                    settings,
                    reader,
                    host.leader_role.leadership,
                    host.membership,
                    lambda: host.releases_seat,
                    publish,
                )
            )
            tasks.create_task(
                transfers.transfer_units(
                    host.leader_role.escrow,
                    settings.zone,
                    host.escrow_ports(platform),
                )
            )
            tasks.create_task(
                config_sync.sync_from_peers(
                    config_sync.connect_ports(reader),
                    host.membership.offsets,
                    host.ask,
                )
            )
            _start_recovery(tasks, host, settings, reader, is_task_finished)
            tasks.create_task(
                task_recovery.recover_running(
                    host.leader_role, reader, settings.zone, read_tasks
                )
            )
    finally:
        host.streams.close()


def _start_recovery(
    tasks: asyncio.TaskGroup,
    host: host_module.EntryHost,
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    is_task_finished: recovery.IsTaskFinished,
) -> None:
    tasks.create_task(
        recovery.report_held_grants(
            host.report_held_grants, reader, host.streams
        )
    )
    tasks.create_task(
        recovery.watch_peers(
            settings.host,
            host.leader_role.dispatcher,
            host.leader_role.claims,
            reader,
            host.streams,
            host.membership,
            is_task_finished,
        )
    )


async def _listen_for_peers(
    host: host_module.EntryHost,
    settings: settings_module.Settings,
    listen: http_exchange.Listen,
) -> None:
    async def accept(
        stream_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if host.leader_role.leadership.is_superseded:
            writer.close()
            return
        await host.streams.serve_stream(
            stream_reader, writer, host.handle, dialled=False
        )

    await listen(settings.entries, accept)


async def _dial_peers(
    host: host_module.EntryHost,
    settings: settings_module.Settings,
    reader: log_reader.LogReader,
    dial: http_exchange.Dial,
) -> None:
    """Runs one task for each peer that this host keeps a stream to."""
    async with asyncio.TaskGroup() as tasks:
        dialling: dict[tuple[str, types.Address], asyncio.Task[None]] = {}
        while True:
            wanted = config_sync.peers_to_dial(settings, reader.configuration)
            if host.leader_role.leadership.is_superseded:
                # Peers would take the replies of either process for the
                # other's.
                wanted = set()
                host.streams.close()
            for peer in dialling.keys() - wanted:
                dialling.pop(peer).cancel()
            for peer in wanted - dialling.keys():
                name, address = peer
                dialling[peer] = tasks.create_task(
                    streams.keep_connected(
                        host.streams,
                        address,
                        host.handle,
                        expected=name,
                        dial=dial,
                    )
                )
            await asyncio.sleep(POLL_INTERVAL_S)


async def _follow_leadership(
    host: host_module.EntryHost, reader: log_reader.LogReader
) -> None:
    """Updates the leader role and grants freed slots, until cancelled.

    A new configuration or the passage of time can free slots.
    """
    while True:
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await reader.wait_for_change()
        except TimeoutError:
            pass
        host.leader_role.follow_log()
        host.leader_role.dispatcher.grant_waiting()
