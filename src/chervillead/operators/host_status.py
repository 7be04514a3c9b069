"""Collects the status document of this entry host."""

from chervillead import settings as settings_module
from chervillead.entries import host as host_module
from chervillead.entries import messages
from chervillead.fleet import log_reader
from chervillead.operators import status


def collect_status(
    settings: settings_module.Settings,
    entry: host_module.EntryHost,
    reader: log_reader.LogReader,
) -> status.Status:
    """Returns the current status of the fleet as seen by the entry host.

    Args:
        settings: Settings of the entry host.
        entry: The entry host.
        reader: Provides the folded configuration.
    """
    configuration = reader.configuration
    waiting = entry.dispatcher.waiting

    def heartbeat_of(host: str) -> messages.Heartbeat | None:
        if host == settings.host:
            return entry.current_heartbeat()
        return entry.membership.heartbeat_of(host)

    return status.build_status(
        configuration,
        status.HostView(
            settings.host,
            settings.zone,
            reader.unconfirmed_s,
            reader.alarms,
            entry.membership.live,
            entry.membership.silent_s,
            heartbeat_of,
            {
                queue: sum(waiting.queue_counts(queue).values())
                for queue in configuration.queues
            },
            entry.dispatcher.team_demands(),
        ),
    )
