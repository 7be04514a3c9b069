"""Commands that take zones out of service and control rollouts."""

import typing

import cyclopts

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import records
from chervillead.operators import commands
from chervillead.operators import publishing

zone_app = cyclopts.App(
    name="zone", help="Takes an availability zone out of service or back in."
)
rollout_app = cyclopts.App(
    name="rollout", help="Starts, stops and resumes the maintenance of a pool."
)


@zone_app.command(name="out", help_epilogue="Example: `chervillead zone out a`")
def zone_out(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Takes a zone out of service; within seconds nothing starts there.

    Args:
        name: Name of the zone.
        log: Options for access to the log.
        how: Options for publishing.
    """
    status = configuration_module.ZoneStatus.OUT
    return _publish_existing(records.ZONE, name, log, how, status=status.value)


@zone_app.command(name="in", help_epilogue="Example: `chervillead zone in a`")
def zone_in(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Returns a zone to service.

    Args:
        name: Name of the zone.
        log: Options for access to the log.
        how: Options for publishing.
    """
    status = configuration_module.ZoneStatus.IN
    return _publish_existing(records.ZONE, name, log, how, status=status.value)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout start kernel-42 --pool portal "
    "--change 'kernel 6.12.42'`"
)
def start(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
    pool: str,
    change: str,
) -> int:
    """Starts a rollout: maintenance of all hosts of a pool in waves.

    Args:
        name: Name of the rollout.
        log: Options for access to the log.
        how: Options for publishing.
        pool: Pool whose hosts are maintained.
        change: Description of the change to the hosts.
    """
    fields = {"pool": pool, "change": change, "stopped": False}
    planned = publishing.Change(records.ROLLOUT, name, fields, must_be_new=True)
    return commands.publish(planned, log, how)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout stop kernel-42`"
)
def stop(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Stops a rollout before its next wave.

    Args:
        name: Name of the rollout.
        log: Options for access to the log.
        how: Options for publishing.
    """
    return _publish_existing(records.ROLLOUT, name, log, how, stopped=True)


@rollout_app.command(
    help_epilogue="Example: `chervillead rollout resume kernel-42`"
)
def resume(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Resumes a stopped rollout.

    Args:
        name: Name of the rollout.
        log: Options for access to the log.
        how: Options for publishing.
    """
    return _publish_existing(records.ROLLOUT, name, log, how, stopped=False)


@rollout_app.command(
    name="remove",
    help_epilogue="Example: `chervillead rollout remove kernel-42`",
)
def remove_rollout(
    name: str,
    /,
    *,
    log: commands.LogParameter = commands.DEFAULT_LOG_OPTIONS,
    how: commands.ChangeParameter = commands.DEFAULT_CHANGE_OPTIONS,
) -> int:
    """Removes a rollout; its name can then be used again.

    Args:
        name: Name of the rollout.
        log: Options for access to the log.
        how: Options for publishing.
    """
    change = publishing.Change(records.ROLLOUT, name, remove=True)
    return commands.publish(change, log, how)


def _publish_existing(
    kind: str,
    name: str,
    log: commands.LogOptions,
    how: commands.ChangeOptions,
    **fields: typing.Any,
) -> int:
    """Publishes a change of a subject that must already exist."""
    change = publishing.Change(kind, name, fields, must_exist=True)
    return commands.publish(change, log, how)
