"""The advisory service: says which workers may run a step."""

import asyncio
from collections import abc

import msgspec

from stage import record as record_module
from stand_ins import http_server

DECIDE_MS = 20
PER_WORKER_MS = 5
VALID_MS = 3000


def ticket_of(worker_id: str) -> str:
    """Returns the ticket for a life of a worker."""
    return f"ticket-{worker_id}"


class AdvisoryService:
    """Answers calls about a step, one at a time for all callers.

    Attributes:
        limits: What a queue's configuration says of the service.
    """

    limits = {
        "DecideMs": DECIDE_MS,
        "PerWorkerMs": PER_WORKER_MS,
        "ValidMs": VALID_MS,
    }

    def __init__(
        self, record: record_module.Record, allowed: abc.Collection[str]
    ) -> None:
        """Starts with a policy.

        Args:
            record: Record of the calls.
            allowed: Ids of the workers that may run a step.
        """
        self._record = record
        self._allowed = allowed
        self._turn = asyncio.Lock()

    async def handle(
        self,
        request: http_server.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> http_server.Reply:
        """Answers a call after the time that the policy takes."""
        fields = msgspec.json.decode(request.body)
        named = fields["Workers"]
        if len(named) > 100:
            return http_server.Reply(400)
        async with self._turn:
            await asyncio.sleep((DECIDE_MS + PER_WORKER_MS * len(named)) / 1000)
        good = [
            (worker_id, ticket_of(worker_id))
            for worker_id in named
            if worker_id in self._allowed
        ]
        self._record.write(
            f"advice: {fields['Phase']} for {len(named)} workers: "
            f"{[worker_id for worker_id, _ in good] or 'none'}"
        )
        body = msgspec.json.encode({"Good": good, "ValidMs": VALID_MS})
        return http_server.Reply(200, body)
