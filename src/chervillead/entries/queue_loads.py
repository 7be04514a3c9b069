"""Load of each queue as one zone's dispatcher reports it."""

from chervillead.entries import dispatcher as dispatcher_module
from chervillead.entries import messages


def queue_loads(
    dispatcher: dispatcher_module.Dispatcher,
) -> dict[str, messages.QueueLoad]:
    """Returns the load of each queue with requests in the zone.

    A request that waits in two zones is counted in both.
    """
    running: dict[str, int] = {}
    for slot in dispatcher.slots.held.values():
        running[slot.queue] = running.get(slot.queue, 0) + 1
    waiting: dict[str, int] = {}
    for entry in dispatcher.waiting.entries:
        queue = entry.register.queue
        waiting[queue] = waiting.get(queue, 0) + 1
    return {
        queue: messages.QueueLoad(
            waiting.get(queue, 0),
            running.get(queue, 0),
            int(dispatcher.run_times.for_queue(queue).mean_s * 1000),
        )
        for queue in sorted(running.keys() | waiting.keys())
    }
