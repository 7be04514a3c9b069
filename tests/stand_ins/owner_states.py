"""Builds the state of a partition's owner without a fleet around it."""

from collections import abc
import typing

from chervillead import verdicts
from chervillead.jobs import model
from chervillead.jobs import partition_records
from chervillead.pools import owner_state
from chervillead.pools import ports
from chervillead.store import group_commit
from chervillead.store import interface
from stand_ins import platform_fleet
from stand_ins import virtual_time

NO_REPLY = interface.StoreFailure(verdicts.Verdict.MAY_HAVE_RUN, "no reply")
NOT_ACCEPTED = interface.StoreFailure(verdicts.Verdict.NOT_RUN, "503")
FENCED = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN, "409", interface.RejectionReason.FENCED
)
WRONG_SEQUENCE = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN,
    "409",
    interface.RejectionReason.OUT_OF_SEQUENCE,
    7,
)
UNKNOWN_REASON = interface.StoreFailure(
    verdicts.Verdict.NOT_RUN, "409", interface.RejectionReason.NOT_A_MEMBER
)


CONFIGURATION = model.FleetConfiguration(
    1,
    {"queue-1": model.Queue("queue-1", "", "", "pool-1", max_attempts=3)},
    {"pool-1": model.Pool("pool-1")},
    {},
    {},
    1000,
)


def job(number: int) -> model.JobSpec:
    """Returns the spec of a job of one task."""
    return model.JobSpec(
        platform_fleet.job_id(number),
        "queue-1",
        "pool-1",
        "account-1",
        "x",
        (model.Step(1, model.Resources(1000, 100)),),
    )


def build_state(
    append: typing.Any,
    loop_lag_s: abc.Callable[[], float],
    configuration: model.FleetConfiguration = CONFIGURATION,
) -> owner_state.OwnerState:
    """Returns an owner's state whose writer appends with a function."""
    store = interface.Store(append, None, None, None, None, None)
    owner_ports = ports.OwnerPorts(
        store=store,
        open_worker=None,
        clock=virtual_time.clock(),
        limits=ports.Limits(),
        configuration=lambda: configuration,
        zones_out=frozenset,
        is_current=lambda: True,
        log=lambda message_type, **fields: None,
        increment=lambda *labels: None,
        observe=lambda name, seconds: None,
        call_owner=None,
        loop_lag_s=loop_lag_s,
    )
    state = owner_state.OwnerState(
        0,
        1,
        group_commit.PartitionWriter(store, "keyed.jobs", 0, 1),
        owner_ports,
        owner_state.OwnershipStatus(lambda: True, lambda: False),
    )
    state.queues.update(
        (
            queue.address,
            partition_records.QueueAssignment(queue.address, 1, True),
        )
        for queue in configuration.queues.values()
    )
    return state
