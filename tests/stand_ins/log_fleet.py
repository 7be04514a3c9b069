"""Readers of one log in one event loop, without the rest of entry hosts."""

import asyncio
import random
import typing

from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import fold
from chervillead.fleet import log_client
from chervillead.fleet import log_reader
from chervillead.fleet import publisher
from chervillead.fleet import records
from chervillead.fleet import snapshot_writer
from stand_ins import platform as platform_stand_in
from stand_ins import virtual_time


class LogFleet:
    """A platform and its log readers.

    Attributes:
        disconnected: Indexes of the readers that can't reach the platform.
    """

    def __init__(self, *, retention: int = 100_000) -> None:
        self.platform = platform_stand_in.PlatformState(retention=retention)
        self.client = platform_stand_in.memory_client(self.platform)
        self.readers: list[log_reader.LogReader] = []
        self.disconnected: set[int] = set()
        self.published: list[records.LogEntry] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start_reader(self, *, snapshots: int = 0) -> log_reader.LogReader:
        """Starts a reader.

        Args:
            snapshots: Retention by which the reader's host also writes
                snapshots; 0 for none.
        """
        index = len(self.readers)
        client = self.client_of(index)
        reader = log_reader.LogReader(virtual_time.clock())
        self.readers.append(reader)
        self._run(log_reader.follow_log(reader, client))
        if snapshots:
            self._run(
                snapshot_writer.write_snapshots(
                    reader,
                    client,
                    virtual_time.clock(),
                    host=f"e{index}",
                    live=lambda: ("e0",),
                    retention=snapshots,
                )
            )
        return reader

    def client_of(self, index: int) -> log_client.PlatformClient:
        """Returns the client of a reader, with random delays of reads."""

        async def read(offset: int, wait_s: float) -> typing.Any:
            await asyncio.sleep(random.uniform(0.0005, 0.005))
            while index in self.disconnected:
                await asyncio.sleep(0.1)
            return await self.client.read(offset, wait_s)

        return self.client._replace(read=read)

    def append(self, kind: str, subject: str, **fields: typing.Any) -> int:
        """Appends a record that is based on the current state of the log."""
        state = self.reference()
        version = state.versions.get((kind, subject), records.NO_VERSION)
        record = records.Record(
            f"id-{len(self.published)}-{random.random()}",
            kind,
            subject,
            version,
            fields,
        )
        data = records.encode_record(record)
        return typing.cast(int, self.platform.append(data, -1.0))

    def reference(self) -> configuration_module.Configuration:
        """Returns the state after all records that were ever appended."""
        known = self.published[-1].offset if self.published else -1
        self.published += [
            records.LogEntry(*entry)
            for entry in self.platform.entries
            if entry[0] > known
        ]
        state = configuration_module.EMPTY
        for step in fold.fold_records(
            state, records.decode_entries(self.published)
        ):
            state = step.configuration
        return state

    async def publish(
        self, reader: log_reader.LogReader, record: records.Record
    ) -> publisher.PublishedRecord:
        """Publishes a record as an operator on the host of `reader` does."""
        return await publisher.publish(
            record, reader, self.client, virtual_time.clock()
        )

    async def stop(self) -> None:
        """Cancels all tasks and waits for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _run(self, main: typing.Any) -> None:
        self._tasks.append(asyncio.ensure_future(main))
